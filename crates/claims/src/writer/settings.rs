use std::time::Duration;

/// Times of the writer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// How long a claim waits for others before it is written.
    pub claim_linger: Duration,
    /// How long an outcome waits for a write that claims need anyway.
    pub outcome_linger: Duration,
    /// How long calls are refused without asking, after the store was unavailable.
    pub outage_pause: Duration,
    /// How often a shard is read to release attempts whose call was refused.
    pub orphan_check: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            claim_linger: Duration::from_millis(5),
            outcome_linger: Duration::from_secs(1),
            outage_pause: Duration::from_millis(500),
            orphan_check: Duration::from_secs(5),
        }
    }
}
