use std::time::Duration;

use kumquattiller_base::size::Tokens;

/// Sizes and times of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// KV memory of the engine.
    pub capacity: Tokens,
    /// Time without renewal after which an entry daemon no longer owns anything.
    pub owner_lapse: Duration,
    /// Time after the start of the runner process in which streams may be claimed.
    pub claim_grace: Duration,
    /// Pause before an action is tried again.
    pub retry: Duration,
}

impl Limits {
    /// Returns the usual times for an engine with `capacity`.
    pub const fn new(capacity: Tokens) -> Self {
        Self {
            capacity,
            owner_lapse: Duration::from_secs(3),
            claim_grace: Duration::from_secs(2),
            retry: Duration::from_millis(500),
        }
    }
}
