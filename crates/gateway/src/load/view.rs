use kumquattiller_base::runner;
use xxhash_rust::xxh3::xxh3_64;

use crate::load::GAP_GROUPS;
use crate::load::Streams;

/// Work in flight at one server.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// Prefill work that is not done yet, in milliseconds.
    pub backlog_ms: f64,
    /// Prefill work of the requests whose first event has not come, in milliseconds. Part of it may
    /// be done, but its events come only at the end of a pass.
    pub unanswered_ms: f64,
    /// Number of requests that have been sent and have not ended.
    pub requests: u32,
    /// Number of interactive streams among them that have begun.
    pub interactive: u32,
    /// Number of requests whose first event has come, so that the server is decoding.
    pub decoding: u32,
    /// Streams among them that are on time, grouped by target gap.
    pub streams: [Streams; GAP_GROUPS],
    /// Tokens held in the engine's memory.
    pub memory: u64,
    /// Sum of the urgency of the requests whose first event has not come: the value that they lose
    /// with each millisecond of delay.
    pub urgency: f64,
}

impl std::ops::Add for Load {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            backlog_ms: self.backlog_ms + other.backlog_ms,
            unanswered_ms: self.unanswered_ms + other.unanswered_ms,
            requests: self.requests + other.requests,
            interactive: self.interactive + other.interactive,
            decoding: self.decoding + other.decoding,
            streams: std::array::from_fn(|n| self.streams[n] + other.streams[n]),
            memory: self.memory + other.memory,
            urgency: self.urgency + other.urgency,
        }
    }
}

/// Returns the hash of a server's id that daemons use in messages to one another.
pub fn server_key(id: &runner::Id) -> u64 {
    xxh3_64(id.as_str().as_bytes())
}
