use std::time::Duration;

/// Bounds of a [`History`](crate::explain::History).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limit {
    /// Most requests.
    pub requests: usize,
    /// Most lines of a request.
    pub lines: usize,
    /// Longest line, in bytes.
    pub line_bytes: usize,
    /// Time that a request is kept, from its first line.
    pub keep: Duration,
}

impl Default for Limit {
    fn default() -> Self {
        Self { requests: 4096, lines: 32, line_bytes: 160, keep: Duration::from_secs(600) }
    }
}
