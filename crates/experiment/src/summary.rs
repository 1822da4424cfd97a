//! Figures of several seeds taken together.

use std::collections::BTreeMap;

use crate::figures::Line;

/// What a summary is of.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// The deployment.
    pub deployment: String,
    /// The policy.
    pub policy: String,
    /// The load in hundredths of the capacity.
    pub load_percent: u64,
    /// The band of prompt sizes.
    pub prompt_band: String,
}

/// Means over the seeds, and sums of the counts.
#[derive(Debug, Clone, Copy, Default)]
pub struct Summary {
    /// Seeds.
    pub seeds: u32,
    /// Mean of the median time to first token.
    pub ttft_p50_s: f64,
    /// Mean of the time to first token for 95 in 100.
    pub ttft_p95_s: f64,
    /// Mean of the median slowdown.
    pub slowdown_p50: f64,
    /// Mean of the slowdown for 95 in 100.
    pub slowdown_p95: f64,
    /// The worst seed's slowdown for 95 in 100.
    pub worst_slowdown_p95: f64,
    /// The worst seed's time between tokens for 95 in 100.
    pub worst_gap_p95_s: f64,
    /// Requests done.
    pub done: u64,
    /// Requests failed.
    pub failed: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests late.
    pub late: u64,
    /// Mean share of the prompt tokens that were cached.
    pub cache_hit_share: f64,
}

/// Takes the lines of all seeds together.
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
        let mix = |mean: &mut f64, value: f64| *mean += (value - *mean) * weight;
        mix(&mut self.ttft_p50_s, line.ttft_p50_s);
        mix(&mut self.ttft_p95_s, line.ttft_p95_s);
        mix(&mut self.slowdown_p50, line.slowdown_p50);
        mix(&mut self.slowdown_p95, line.slowdown_p95);
        mix(&mut self.cache_hit_share, line.cache_hit_share);
        self.worst_slowdown_p95 = self.worst_slowdown_p95.max(line.slowdown_p95);
        self.worst_gap_p95_s = self.worst_gap_p95_s.max(line.tokens_gap_p95_s);
        self.done += line.done;
        self.failed += line.failed;
        self.refused += line.refused;
        self.late += line.late;
    }
}

/// Heads of the columns of [`row`].
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

/// Returns the cells of one summary.
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

/// Returns a table in Markdown.
pub fn table(heads: &[&str], rows: &[Vec<String>]) -> String {
    let line = |cells: Vec<String>| format!("| {} |\n", cells.join(" | "));
    let mut text = line(heads.iter().map(ToString::to_string).collect());
    text += &line(heads.iter().map(|_| "---".to_owned()).collect());
    for cells in rows {
        text += &line(cells.clone());
    }
    text
}
