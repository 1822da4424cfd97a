use bytes::Bytes;

/// A piece of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// Offset of its first token, or byte for plain services.
    pub offset: u64,
    /// Its tokens, or bytes for plain services.
    pub count: u64,
    /// The data.
    pub data: Bytes,
}
