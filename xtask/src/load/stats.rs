use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use kumquattiller_routing::band::Band;
use serde_json::Value;
use serde_json::json;

use crate::caller::Completion;
use crate::caller::Status;
use crate::load::Options;
use crate::load::Shape;

/// Longest time that a histogram records, in microseconds; longer ones count as this.
const MAX_TIME_US: u64 = 3_600_000_000;
/// Decimal digits of precision of a histogram.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Error kinds of requests that missed their deadline.
const DEADLINE_KINDS: [&str; 2] = ["deadline_exceeded", "deadline_expired"];

/// Latencies and outcomes of requests, by band of prompt lengths.
#[derive(Debug, Default)]
pub struct Stats {
    bands: BTreeMap<Band, BandStats>,
}

/// Latencies and outcomes of the requests of one band.
#[derive(Debug)]
struct BandStats {
    first_token: Histogram<u64>,
    token_gap: Histogram<u64>,
    done: u64,
    failed: u64,
    refused: u64,
    missed_deadline: u64,
    error_kinds: BTreeMap<String, u64>,
}

impl Default for BandStats {
    fn default() -> Self {
        Self {
            first_token: histogram(),
            token_gap: histogram(),
            done: 0,
            failed: 0,
            refused: 0,
            missed_deadline: 0,
            error_kinds: BTreeMap::new(),
        }
    }
}

impl Stats {
    /// Records a completion of a request of the given shape.
    pub fn record(&mut self, shape: Shape, completion: &Completion) {
        let band = self.bands.entry(Band::of(shape.prompt)).or_default();
        if let Some(duration) = completion.first_token {
            band.first_token.saturating_record(whole_micros(duration));
        }
        for token_gap in &completion.token_gaps {
            band.token_gap.saturating_record(whole_micros(*token_gap));
        }
        match &completion.status {
            Status::Done => band.done += 1,
            Status::Refused(kind) => {
                band.refused += 1;
                band.count_error(kind);
            }
            Status::Failed(kind) => {
                band.failed += 1;
                band.count_error(kind);
            }
        }
    }

    /// Returns the number of recorded requests.
    pub fn count(&self) -> u64 {
        self.bands.values().map(|band| band.done + band.failed + band.refused).sum()
    }

    /// Returns the number of requests that completed.
    pub fn done(&self) -> u64 {
        self.bands.values().map(|band| band.done).sum()
    }

    /// Returns one JSON object for each band.
    pub fn json_lines(&self, options: &Options) -> Vec<Value> {
        self.bands.iter().map(|(prompt_band, band)| band.to_json(*prompt_band, options)).collect()
    }
}

impl BandStats {
    fn count_error(&mut self, kind: &str) {
        *self.error_kinds.entry(kind.to_owned()).or_default() += 1;
        if DEADLINE_KINDS.contains(&kind) {
            self.missed_deadline += 1;
        }
    }

    fn to_json(&self, prompt_band: Band, options: &Options) -> Value {
        json!({
            "deployment": options.mix.to_string(),
            "policy": "kumquattiller",
            "rate": options.rate,
            "seed": options.seed,
            "prompt_band": prompt_band.to_string(),
            "ttft_p50_s": quantile(&self.first_token, 0.50),
            "ttft_p95_s": quantile(&self.first_token, 0.95),
            "ttft_p99_s": quantile(&self.first_token, 0.99),
            "tokens_gap_p95_s": quantile(&self.token_gap, 0.95),
            "done": self.done,
            "failed": self.failed,
            "refused": self.refused,
            "late": self.missed_deadline,
            "errors": self.error_kinds,
        })
    }
}

/// Returns an empty histogram of times in microseconds.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_TIME_US, SIGNIFICANT_DIGITS).expect("the bounds are valid")
}

/// Returns a quantile in seconds.
pub fn quantile(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1e6
}

/// Returns a duration in whole microseconds, rounded down.
pub fn whole_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
