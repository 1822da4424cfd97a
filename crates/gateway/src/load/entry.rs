use std::time::Duration;

use kumquattiller_base::runner;
use kumquattiller_base::size::Tokens;

use crate::load::Streams;
use crate::load::gap_group;

/// What one request asks of one server.
#[derive(Debug, Clone, PartialEq)]
pub struct Assignment {
    /// The server.
    pub server: runner::Id,
    /// Time to read its part of the prompt, in milliseconds.
    pub prefill_ms: f64,
    /// Longest pause between its events that is on time.
    pub target_gap: Duration,
    /// What it is worth to its caller while it is on time.
    pub value: f64,
    /// Tokens that it holds in the engine's memory until it ends.
    pub memory: Tokens,
    /// Whether the server only reads a part and does not write.
    pub helper: bool,
}

impl Assignment {
    /// Tells whether its stream allows only short pauses.
    pub fn is_interactive(&self) -> bool {
        gap_group(self.target_gap) == 0
    }

    /// Returns its stream as a group of one.
    pub fn stream(&self) -> Streams {
        Streams { value: self.value, target_gap_ms: self.target_gap.as_secs_f64() * 1e3 }
    }
}
