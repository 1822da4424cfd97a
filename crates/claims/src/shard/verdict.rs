use crate::Outcome;
use crate::Timestamp;

/// Result of an attempt to claim a key in a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The key had no record; one was added.
    Added,
    /// The key's record already belongs to this attempt.
    Own,
    /// Another attempt claimed the key, and its request may still run.
    Held {
        /// The deadline of the other attempt's request.
        until: Timestamp,
    },
    /// The request of another attempt ended with this outcome.
    Finished(Outcome),
    /// The deadline of another attempt's request has passed, and no outcome was recorded.
    Unknown,
    /// The key is claimed for a request with another fingerprint.
    Reused,
    /// The shard has no room for a record.
    Full,
}

impl Verdict {
    /// Returns whether a later write by another daemon may change the verdict.
    pub const fn is_provisional(&self) -> bool {
        matches!(self, Self::Held { .. } | Self::Unknown | Self::Full)
    }
}
