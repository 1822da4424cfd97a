use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use kumquattiller_routing::band::Band;
use serde_json::Value;
use serde_json::json;

use crate::caller::Answer;
use crate::caller::Ended;
use crate::load::Options;
use crate::load::Shape;

/// Longest time that a histogram holds, in microseconds.
const MAX_TIME_US: u64 = 3_600_000_000;
/// Significant digits of a histogram.
const DIGITS: u8 = 3;
/// Error kinds of answers that came too late.
const LATE_KINDS: [&str; 2] = ["deadline_exceeded", "deadline_expired"];

/// What callers saw, by band of prompt lengths.
#[derive(Debug, Default)]
pub struct Tally {
    bands: BTreeMap<Band, Row>,
}

/// What callers of one band saw.
#[derive(Debug)]
struct Row {
    first_token: Histogram<u64>,
    gap: Histogram<u64>,
    done: u64,
    failed: u64,
    refused: u64,
    late: u64,
    kinds: BTreeMap<String, u64>,
}

impl Default for Row {
    fn default() -> Self {
        Self {
            first_token: histogram(),
            gap: histogram(),
            done: 0,
            failed: 0,
            refused: 0,
            late: 0,
            kinds: BTreeMap::new(),
        }
    }
}

impl Tally {
    /// Counts an answer.
    pub fn take(&mut self, shape: Shape, answer: &Answer) {
        let row = self.bands.entry(Band::of(shape.prompt)).or_default();
        if let Some(time) = answer.first_token {
            row.first_token.saturating_record(micros(time));
        }
        for gap in &answer.gaps {
            row.gap.saturating_record(micros(*gap));
        }
        match &answer.ended {
            Ended::Done => row.done += 1,
            Ended::Refused(kind) => {
                row.refused += 1;
                row.count_kind(kind);
            }
            Ended::Failed(kind) => {
                row.failed += 1;
                row.count_kind(kind);
            }
        }
    }

    /// Returns the number of answers.
    pub fn count(&self) -> u64 {
        self.bands.values().map(|row| row.done + row.failed + row.refused).sum()
    }

    /// Returns the number of whole answers.
    pub fn done(&self) -> u64 {
        self.bands.values().map(|row| row.done).sum()
    }

    /// Returns one JSON object for each band.
    pub fn lines(&self, options: &Options) -> Vec<Value> {
        self.bands.iter().map(|(band, row)| row.line(*band, options)).collect()
    }
}

impl Row {
    fn count_kind(&mut self, kind: &str) {
        *self.kinds.entry(kind.to_owned()).or_default() += 1;
        if LATE_KINDS.contains(&kind) {
            self.late += 1;
        }
    }

    fn line(&self, band: Band, options: &Options) -> Value {
        json!({
            "deployment": options.mix.to_string(),
            "policy": "kumquattiller",
            "rate": options.rate,
            "seed": options.seed,
            "prompt_band": band.to_string(),
            "ttft_p50_s": quantile(&self.first_token, 0.50),
            "ttft_p95_s": quantile(&self.first_token, 0.95),
            "ttft_p99_s": quantile(&self.first_token, 0.99),
            "tokens_gap_p95_s": quantile(&self.gap, 0.95),
            "done": self.done,
            "failed": self.failed,
            "refused": self.refused,
            "late": self.late,
            "errors": self.kinds,
        })
    }
}

/// Returns an empty histogram of times in microseconds.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_TIME_US, DIGITS).expect("the bounds are valid")
}

/// Returns a quantile in seconds.
pub fn quantile(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1e6
}

/// Returns a time in whole microseconds.
pub fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
