use std::time::Duration;

/// Times and counts of the gossip.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Time between rounds.
    pub interval: Duration,
    /// Members that get a heartbeat each round.
    pub fanout: usize,
    /// Entries of recent news in a message.
    pub news: usize,
    /// Entries chosen at random in a message.
    pub random: usize,
    /// Time without answer to a heartbeat after which a member is suspect.
    pub answer_timeout: Duration,
    /// Time as a suspect after which a member is removed.
    pub remove_after: Duration,
    /// Time for which a removed member is remembered, so that old gossip does not bring it back.
    pub forget_after: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            interval: Duration::from_secs(1),
            fanout: 2,
            news: 6,
            random: 2,
            answer_timeout: Duration::from_secs(2),
            remove_after: Duration::from_secs(8),
            forget_after: Duration::from_secs(120),
        }
    }
}
