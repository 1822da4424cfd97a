use bytes::Bytes;

/// Answer of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// The body.
    pub body: Bytes,
}
