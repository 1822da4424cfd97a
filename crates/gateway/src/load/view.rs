use kumquattiller_base::runner;
use xxhash_rust::xxh3::xxh3_64;

use crate::load::GAP_GROUPS;
use crate::load::Streams;

/// What one server has in flight.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// Prompts that are not read yet, as milliseconds of reading.
    pub backlog_ms: f64,
    /// Requests that are sent and not ended.
    pub requests: u32,
    /// Streams among them that have begun and allow only short pauses.
    pub interactive: u32,
    /// Streams among them that have begun.
    pub decoding: u32,
    /// What those of them that are on time are worth, by the pauses that they allow.
    pub streams: [Streams; GAP_GROUPS],
    /// Tokens that they hold in the engine's memory.
    pub memory: u64,
}

impl std::ops::Add for Load {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            backlog_ms: self.backlog_ms + other.backlog_ms,
            requests: self.requests + other.requests,
            interactive: self.interactive + other.interactive,
            decoding: self.decoding + other.decoding,
            streams: std::array::from_fn(|n| self.streams[n] + other.streams[n]),
            memory: self.memory + other.memory,
        }
    }
}

/// Returns the short form of a server's id that daemons use among themselves.
pub fn server_key(id: &runner::Id) -> u64 {
    xxh3_64(id.as_str().as_bytes())
}
