use std::time::Duration;

use bytes::Bytes;

/// A call to a plain service.
#[derive(Debug, Clone)]
pub struct Call {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Content type of the body.
    pub content_type: String,
    /// Idempotency key, if the caller gave one.
    pub key: Option<String>,
    /// Request body.
    pub body: Bytes,
    /// Time limit for the call.
    pub timeout: Duration,
}
