use serde::Deserialize;
use serde::Serialize;

/// One server-sent event of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Offset of the first token in `text`.
    pub offset: u64,
    /// Number of tokens in `text`.
    pub tokens: u64,
    /// Generated text.
    pub text: String,
    /// `stop` or `length`; set in the last event only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_reason: Option<String>,
}
