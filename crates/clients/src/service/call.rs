use std::time::Duration;

use bytes::Bytes;

/// A call to a plain service.
#[derive(Debug, Clone)]
pub struct Call {
    /// HTTP method.
    pub method: String,
    /// Path with its query.
    pub path: String,
    /// Content type of the body.
    pub content_type: String,
    /// Idempotency key, when the caller gave one.
    pub key: Option<String>,
    /// The body.
    pub body: Bytes,
    /// Longest wait for the answer.
    pub timeout: Duration,
}
