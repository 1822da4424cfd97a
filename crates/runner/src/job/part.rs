use bytes::Bytes;

/// A contiguous part of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// Offset of the first token in the answer; of the first byte for plain services.
    pub offset: u64,
    /// Number of tokens; of bytes for plain services.
    pub count: u64,
    /// Text of the tokens, or the bytes.
    pub data: Bytes,
}
