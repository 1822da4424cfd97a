use std::time::Duration;

use kumquattiller_base::runner;
use kumquattiller_base::size::Tokens;

use crate::load::Streams;
use crate::load::group_of;

/// What one request asks of one server.
#[derive(Debug, Clone, PartialEq)]
pub struct Work {
    /// The server.
    pub server: runner::Id,
    /// Time to read its part of the prompt, in milliseconds.
    pub read_ms: f64,
    /// Longest pause between its events that is on time.
    pub pause: Duration,
    /// What it is worth to its caller while it is on time.
    pub worth: f64,
    /// Tokens that it holds in the engine's memory until it ends.
    pub memory: Tokens,
    /// Whether the server only reads a part and does not write.
    pub helper: bool,
}

impl Work {
    /// Tells whether its stream allows only short pauses.
    pub fn is_tight(&self) -> bool {
        group_of(self.pause) == 0
    }

    /// Returns its stream as a group of one.
    pub fn stream(&self) -> Streams {
        Streams { worth: self.worth, pause_ms: self.pause.as_secs_f64() * 1e3 }
    }
}
