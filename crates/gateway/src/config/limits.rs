use std::time::Duration;

use kumquattiller_base::size::Bytes;

/// Limits on the size and duration of callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request's head.
    pub header: Bytes,
    /// Maximum size of a request's body.
    pub body: Bytes,
    /// Maximum idle time of a connection, and maximum time for receiving a request's head.
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
