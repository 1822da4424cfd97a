use std::time::Duration;

/// Limits on the memory of a [`History`](crate::explain::History).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limit {
    /// Maximum number of requests.
    pub requests: usize,
    /// Maximum number of lines of a request.
    pub lines: usize,
    /// Maximum length of a line, in bytes.
    pub line_bytes: usize,
    /// Time that a request is stored for, from its first line on.
    pub retention: Duration,
}

impl Default for Limit {
    fn default() -> Self {
        Self { requests: 4096, lines: 32, line_bytes: 160, retention: Duration::from_secs(600) }
    }
}
