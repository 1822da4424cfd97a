use kumquattiller_base::runner;
use xxhash_rust::xxh3::xxh3_64;

use crate::load::GROUPS;
use crate::load::Streams;

/// What one server has in flight.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// Prompts that are not read yet, as milliseconds of reading.
    pub unread_ms: f64,
    /// Requests that are sent and not ended.
    pub requests: u32,
    /// Streams among them that have begun and allow only short pauses.
    pub tight: u32,
    /// Streams among them that have begun.
    pub writing: u32,
    /// What those of them that are on time are worth, by the pauses that they allow.
    pub streams: [Streams; GROUPS],
    /// Tokens that they hold in the engine's memory.
    pub memory: u64,
}

impl std::ops::Add for Load {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            unread_ms: self.unread_ms + other.unread_ms,
            requests: self.requests + other.requests,
            tight: self.tight + other.tight,
            writing: self.writing + other.writing,
            streams: std::array::from_fn(|n| self.streams[n] + other.streams[n]),
            memory: self.memory + other.memory,
        }
    }
}

/// Returns the short form of a server's id that daemons use among themselves.
pub fn key_of(id: &runner::Id) -> u64 {
    xxh3_64(id.as_str().as_bytes())
}
