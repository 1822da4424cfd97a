use std::time::Duration;

/// Delays and intervals of the writer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// How long a claim waits for others to share its write.
    pub claim_linger: Duration,
    /// How long an outcome or a release waits for a write of claims that it can join.
    pub outcome_linger: Duration,
    /// Minimum time between two writes of one shard.
    pub write_interval: Duration,
    /// How long calls are refused without a store operation after the store was unavailable.
    pub outage_pause: Duration,
    /// How often a shard is read for records of refused calls, whose late writes may still appear.
    pub orphan_check_interval: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            claim_linger: Duration::from_millis(5),
            outcome_linger: Duration::from_secs(1),
            write_interval: Duration::from_millis(250),
            outage_pause: Duration::from_millis(500),
            orphan_check_interval: Duration::from_secs(5),
        }
    }
}
