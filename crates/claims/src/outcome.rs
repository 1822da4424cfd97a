use kumquattiller_base::error;
use serde::Deserialize;
use serde::Serialize;

/// What a record keeps of a request that ended.
///
/// "Not run" is not among them: a request that is proved not to have started gives its record up,
/// so that a repeat may run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The backend server answered.
    Done(Reply),
    /// The request started and failed.
    Failed(error::Kind),
    /// Whether the request ran cannot be known.
    Unknown(error::Kind),
}

/// The answer of a backend server as a record keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// HTTP status; 200 for a language model.
    pub status: u16,
    /// Media type of the body.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub content_type: String,
    /// The body, or `None` when it was too long to keep.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body: Option<String>,
}

impl Reply {
    /// Longest body that a record keeps, in bytes of its JSON form.
    pub const MAX_BODY_BYTES: usize = 1_024;

    /// Longest media type that a record keeps, in bytes.
    pub const MAX_CONTENT_TYPE_BYTES: usize = 64;

    /// Keeps an answer, without its body when that is too long or not text.
    pub fn new(status: u16, content_type: &str, body: &[u8]) -> Self {
        let content_type = Some(content_type).filter(|text| is_short(text)).unwrap_or_default();
        let body = std::str::from_utf8(body).ok().map(str::to_owned);
        let body = body.filter(|text| json_bytes(text) <= Self::MAX_BODY_BYTES);
        Self { status, content_type: content_type.to_owned(), body }
    }

    /// Returns the answer without its body.
    pub fn without_body(self) -> Self {
        Self { body: None, ..self }
    }
}

impl Outcome {
    /// Returns an upper bound of the bytes that the outcome adds to a record.
    pub(crate) fn cost(&self) -> usize {
        let Self::Done(reply) = self else {
            return 0;
        };
        reply.body.as_deref().map_or(0, json_bytes)
    }
}

/// Tells whether a media type may be kept.
fn is_short(content_type: &str) -> bool {
    content_type.len() <= Reply::MAX_CONTENT_TYPE_BYTES && content_type.is_ascii()
}

/// Returns the length of `text` as a JSON string.
fn json_bytes(text: &str) -> usize {
    serde_json::to_string(text).map_or(usize::MAX, |json| json.len())
}
