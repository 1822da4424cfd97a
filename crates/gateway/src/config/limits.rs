use std::time::Duration;

use kumquattiller_base::size::Bytes;

/// What a caller may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Most bytes of a request's head.
    pub header: Bytes,
    /// Most bytes of a request's body.
    pub body: Bytes,
    /// Longest time that a connection may stay idle, and that a caller may take to send a head.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header: Bytes::new(16 * 1024),
            body: Bytes::new(4 * 1024 * 1024),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
