use bytes::Bytes;

/// Response of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// Response body.
    pub body: Bytes,
}
