//! Metrics of a run.

use std::time::Duration;

use hdrhistogram::Histogram;
use kumquattiller_base::time::Moment;
use kumquattiller_routing::band::Band;
use strum::IntoEnumIterator;

use crate::model::Model;
use crate::workload::Job;
use crate::world;
use crate::world::State;

/// Number of significant digits of histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Largest value of histograms: one hour in microseconds.
const MAX_VALUE: u64 = 3_600_000_000;

/// Histograms record slowdowns in thousandths.
const SLOWDOWN_SCALE: f64 = 1_000.0;

/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// Histograms of the time between tokens, by band.
#[derive(Debug)]
pub struct Gaps([Histogram<u64>; 3]);

impl Default for Gaps {
    fn default() -> Self {
        Self([histogram(), histogram(), histogram()])
    }
}

impl Gaps {
    /// Records a step that generated one token for each of the `decoding` answers of each band.
    pub fn record(&mut self, step: Duration, decoding: [u64; 3]) {
        for (gaps, count) in self.0.iter_mut().zip(decoding) {
            if count > 0 {
                gaps.saturating_record_n(step.as_micros() as u64, count);
            }
        }
    }

    fn p95_s(&self, band: Band) -> f64 {
        seconds(&self.0[band.priority() as usize], 0.95)
    }
}

/// One line of the results: the metrics of one band in one run.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct Line {
    /// The deployment.
    pub deployment: String,
    /// The policy.
    pub policy: String,
    /// The load, as a fraction of the capacity.
    pub load: f64,
    /// The seed.
    pub seed: u64,
    /// The band of prompt sizes.
    pub prompt_band: String,
    /// Median time to first token, in seconds.
    pub ttft_p50_s: f64,
    /// 95th percentile of the time to first token, in seconds.
    pub ttft_p95_s: f64,
    /// 99th percentile of the time to first token, in seconds.
    pub ttft_p99_s: f64,
    /// Median slowdown: the total time divided by the time on an idle engine.
    pub slowdown_p50: f64,
    /// 95th percentile of the slowdown.
    pub slowdown_p95: f64,
    /// 99th percentile of the slowdown.
    pub slowdown_p99: f64,
    /// 95th percentile of the time between tokens, in seconds.
    pub tokens_gap_p95_s: f64,
    /// Number of requests whose complete answer arrived in time.
    pub done: u64,
    /// Number of requests that failed because their runners were lost.
    pub failed: u64,
    /// Number of requests that were refused without running.
    pub refused: u64,
    /// Number of requests whose deadline passed after they were admitted.
    pub late: u64,
    /// Fraction of the prompt tokens that were cached.
    pub cache_hit_share: f64,
}

/// Identifies a run in its lines.
#[derive(Debug, Clone)]
pub struct Label {
    /// The deployment.
    pub deployment: String,
    /// The policy.
    pub policy: String,
    /// The load, as a fraction of the capacity.
    pub load: f64,
    /// The seed.
    pub seed: u64,
}

/// Summarizes the requests that arrived at `from` or later, with one line for each band.
pub fn lines(
    label: &Label,
    model: &Model,
    run: &(Vec<Job>, Vec<State>, Gaps),
    from: Moment,
) -> Vec<Line> {
    Band::iter().map(|band| line(label, model, run, from, band)).collect()
}

fn line(
    label: &Label,
    model: &Model,
    (jobs, states, gaps): &(Vec<Job>, Vec<State>, Gaps),
    from: Moment,
    band: Band,
) -> Line {
    let (mut ttft, mut slowdown) = (histogram(), histogram());
    let (mut prompts, mut hits) = (0, 0);
    let mut counts = [0_u64; 4];
    let counts_in_band = |(job, _): &(&Job, &State)| job.band() == band && job.arrival >= from;
    for (job, state) in jobs.iter().zip(states).filter(counts_in_band) {
        let outcome = state.outcome.unwrap_or(world::Outcome::Failed);
        counts[outcome as usize] += 1;
        if matches!(outcome, world::Outcome::Refused | world::Outcome::Failed) {
            continue;
        }
        let end = state.end.unwrap_or(job.deadline).since(job.arrival);
        let first = state.first.map_or(end, |first| first.since(job.arrival));
        ttft.saturating_record(first.as_micros() as u64);
        let computed = job.prompt.saturating_sub(state.hit);
        let idle = model.pace().service_time(computed, job.answer).as_secs_f64();
        slowdown.saturating_record((end.as_secs_f64() / idle * SLOWDOWN_SCALE) as u64);
        prompts += job.prompt.get();
        hits += state.hit.get();
    }
    let slowdown_at = |q: f64| slowdown.value_at_quantile(q) as f64 / SLOWDOWN_SCALE;
    Line {
        deployment: label.deployment.clone(),
        policy: label.policy.clone(),
        load: label.load,
        seed: label.seed,
        prompt_band: band.to_string(),
        ttft_p50_s: seconds(&ttft, 0.5),
        ttft_p95_s: seconds(&ttft, 0.95),
        ttft_p99_s: seconds(&ttft, 0.99),
        slowdown_p50: slowdown_at(0.5),
        slowdown_p95: slowdown_at(0.95),
        slowdown_p99: slowdown_at(0.99),
        tokens_gap_p95_s: gaps.p95_s(band),
        done: counts[world::Outcome::Done as usize],
        failed: counts[world::Outcome::Failed as usize],
        refused: counts[world::Outcome::Refused as usize],
        late: counts[world::Outcome::Late as usize],
        cache_hit_share: if prompts == 0 { 0.0 } else { hits as f64 / prompts as f64 },
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_VALUE, SIGNIFICANT_DIGITS).expect("the bounds are in range")
}

fn seconds(values: &Histogram<u64>, quantile: f64) -> f64 {
    values.value_at_quantile(quantile) as f64 / MICROS_PER_SECOND
}
