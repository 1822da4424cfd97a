use std::time::Duration;

/// Intervals, timeouts and message sizes of the membership protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Time between heartbeat rounds.
    pub interval: Duration,
    /// Number of live members that are sent a heartbeat in each round.
    pub fanout: usize,
    /// Maximum number of recent updates in a message.
    pub updates: usize,
    /// Number of randomly chosen entries in a message.
    pub random_entries: usize,
    /// Time without a reply to a heartbeat after which a member becomes suspect.
    pub reply_timeout: Duration,
    /// Time after which a suspect member is removed.
    pub remove_after: Duration,
    /// Time for which the entry of a removed member is kept, so that stale gossip does not add it
    /// again.
    pub forget_after: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            interval: Duration::from_secs(1),
            fanout: 2,
            updates: 6,
            random_entries: 2,
            reply_timeout: Duration::from_secs(2),
            remove_after: Duration::from_secs(8),
            forget_after: Duration::from_secs(120),
        }
    }
}
