use std::time::Duration;

use kumquattiller_base::runner;
use kumquattiller_base::size::Tokens;

use crate::load::Streams;
use crate::load::gap_group;

/// The work of one request at one server.
#[derive(Debug, Clone, PartialEq)]
pub struct Assignment {
    /// Id of the server.
    pub server: runner::Id,
    /// Prefill time of the server's part of the prompt, in milliseconds.
    pub prefill_ms: f64,
    /// Longest gap between events for the stream to be on time.
    pub target_gap: Duration,
    /// Value of the response to the caller while it is on time.
    pub value: f64,
    /// Value that the request loses with each millisecond by which its first event is delayed.
    pub urgency: f64,
    /// Tokens held in the engine's memory until the request ends.
    pub memory: Tokens,
    /// Whether the server only prefills a part or holds memory, and does not generate the response.
    pub helper: bool,
}

impl Assignment {
    /// Returns whether the stream is interactive, that is, in the group with the shortest target
    /// gaps.
    pub fn is_interactive(&self) -> bool {
        gap_group(self.target_gap) == 0
    }

    /// Returns a group that contains only this stream.
    pub fn stream(&self) -> Streams {
        Streams { value: self.value, target_gap_ms: self.target_gap.as_secs_f64() * 1e3 }
    }
}
