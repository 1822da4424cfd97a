//! Metrics aggregated over seeds.

use std::collections::BTreeMap;

use crate::metrics::Line;

/// Identifies the runs and the band that a summary aggregates.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// The deployment.
    pub deployment: String,
    /// The policy.
    pub policy: String,
    /// The load, in percent of the capacity.
    pub load_percent: u64,
    /// The band of prompt sizes.
    pub prompt_band: String,
}

/// Metrics averaged and counts summed over the seeds.
#[derive(Debug, Clone, Copy, Default)]
pub struct Summary {
    /// Number of seeds.
    pub seeds: u32,
    /// Mean of the median time to first token, in seconds.
    pub ttft_p50_s: f64,
    /// Mean of the 95th percentile of the time to first token, in seconds.
    pub ttft_p95_s: f64,
    /// Mean of the median slowdown.
    pub slowdown_p50: f64,
    /// Mean of the 95th percentile of the slowdown.
    pub slowdown_p95: f64,
    /// Largest 95th percentile of the slowdown of any seed.
    pub worst_slowdown_p95: f64,
    /// Largest 95th percentile of the time between tokens of any seed, in seconds.
    pub worst_gap_p95_s: f64,
    /// Number of requests done.
    pub done: u64,
    /// Number of requests failed.
    pub failed: u64,
    /// Number of requests refused.
    pub refused: u64,
    /// Number of requests late.
    pub late: u64,
    /// Mean fraction of the prompt tokens that were cached.
    pub cache_hit_share: f64,
}

/// Aggregates the lines of all seeds.
pub fn summaries(lines: &[Line]) -> BTreeMap<Key, Summary> {
    let mut summaries: BTreeMap<Key, Summary> = BTreeMap::new();
    for line in lines {
        summaries.entry(key(line)).or_default().add(line);
    }
    summaries
}

fn key(line: &Line) -> Key {
    Key {
        deployment: line.deployment.clone(),
        policy: line.policy.clone(),
        load_percent: (line.load * 100.0).round() as u64,
        prompt_band: line.prompt_band.clone(),
    }
}

impl Summary {
    fn add(&mut self, line: &Line) {
        self.seeds += 1;
        let weight = 1.0 / f64::from(self.seeds);
        let update_mean = |mean: &mut f64, value: f64| *mean += (value - *mean) * weight;
        update_mean(&mut self.ttft_p50_s, line.ttft_p50_s);
        update_mean(&mut self.ttft_p95_s, line.ttft_p95_s);
        update_mean(&mut self.slowdown_p50, line.slowdown_p50);
        update_mean(&mut self.slowdown_p95, line.slowdown_p95);
        update_mean(&mut self.cache_hit_share, line.cache_hit_share);
        self.worst_slowdown_p95 = self.worst_slowdown_p95.max(line.slowdown_p95);
        self.worst_gap_p95_s = self.worst_gap_p95_s.max(line.tokens_gap_p95_s);
        self.done += line.done;
        self.failed += line.failed;
        self.refused += line.refused;
        self.late += line.late;
    }
}

/// Column headings of the rows that [`row`] returns.
pub const COLUMNS: [&str; 13] = [
    "deployment",
    "policy",
    "load",
    "band",
    "first token p50 s",
    "p95 s",
    "slowdown p50",
    "p95",
    "worst p95",
    "done",
    "refused",
    "failed",
    "late",
];

/// Returns the table row of a summary.
pub fn row(key: &Key, summary: &Summary) -> Vec<String> {
    vec![
        key.deployment.clone(),
        key.policy.clone(),
        format!("{:.2}", key.load_percent as f64 / 100.0),
        key.prompt_band.clone(),
        format!("{:.3}", summary.ttft_p50_s),
        format!("{:.3}", summary.ttft_p95_s),
        format!("{:.3}", summary.slowdown_p50),
        format!("{:.3}", summary.slowdown_p95),
        format!("{:.3}", summary.worst_slowdown_p95),
        summary.done.to_string(),
        summary.refused.to_string(),
        summary.failed.to_string(),
        summary.late.to_string(),
    ]
}

/// Formats a Markdown table.
pub fn table(headings: &[&str], rows: &[Vec<String>]) -> String {
    let line = |cells: Vec<String>| format!("| {} |\n", cells.join(" | "));
    let mut text = line(headings.iter().map(ToString::to_string).collect());
    text += &line(headings.iter().map(|_| "---".to_owned()).collect());
    for cells in rows {
        text += &line(cells.clone());
    }
    text
}
