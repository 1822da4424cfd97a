use crate::Outcome;
use crate::Timestamp;

/// What a shard says to an attempt that wants a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The key was free; the record was added.
    Added,
    /// The record carries this very attempt.
    Own,
    /// Another attempt holds the key and may still run.
    Held {
        /// When its deadline passes.
        until: Timestamp,
    },
    /// Another attempt held the key and ended.
    Finished(Outcome),
    /// Another attempt held the key past its deadline, and no outcome was recorded.
    Unknown,
    /// The key belongs to a request with another body.
    Reused,
    /// The shard has no room.
    Full,
}

impl Verdict {
    /// Tells whether a later write of another daemon may change the verdict.
    pub const fn is_provisional(&self) -> bool {
        matches!(self, Self::Held { .. } | Self::Unknown | Self::Full)
    }
}
