use kumquattiller_base::error;
use serde::Deserialize;
use serde::Serialize;

/// How a request ended, as its record keeps it.
///
/// There is no variant for a request that was not run: its record is removed, so that a repeat of
/// the key may run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The backend server sent this response.
    Done(Response),
    /// The request started and failed.
    Failed(error::Kind),
    /// It is unknown whether the request ran.
    Unknown(error::Kind),
}

/// The response of a backend server, as a record keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// HTTP status code; 200 for a language model.
    pub status: u16,
    /// Media type of the body; empty if none was kept.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub content_type: String,
    /// The body, or `None` if it was not kept.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body: Option<String>,
}

impl Response {
    /// Maximum size of a body that a record keeps, in bytes as a JSON string.
    pub const MAX_BODY_BYTES: usize = 1_024;

    /// Maximum length of a media type that a record keeps, in bytes.
    pub const MAX_CONTENT_TYPE_BYTES: usize = 64;

    /// Creates the stored form of a response.
    ///
    /// Leaves out a body that is too long or not UTF-8, and a media type that is too long or not
    /// ASCII.
    pub fn new(status: u16, content_type: &str, body: &[u8]) -> Self {
        let content_type =
            Some(content_type).filter(|text| is_valid_content_type(text)).unwrap_or_default();
        let body = std::str::from_utf8(body).ok().map(str::to_owned);
        let body = body.filter(|text| json_bytes(text) <= Self::MAX_BODY_BYTES);
        Self { status, content_type: content_type.to_owned(), body }
    }

    /// Returns the response without its body.
    pub fn without_body(self) -> Self {
        Self { body: None, ..self }
    }
}

impl Outcome {
    /// Returns an upper bound of the bytes in JSON that the outcome adds to the fixed part of a
    /// record.
    pub(crate) fn json_bytes_bound(&self) -> usize {
        let Self::Done(response) = self else {
            return 0;
        };
        response.body.as_deref().map_or(0, json_bytes)
    }
}

/// Returns whether a record may keep a media type.
fn is_valid_content_type(content_type: &str) -> bool {
    content_type.len() <= Response::MAX_CONTENT_TYPE_BYTES && content_type.is_ascii()
}

/// Returns the length of `text` as a JSON string, in bytes.
fn json_bytes(text: &str) -> usize {
    serde_json::to_string(text).map_or(usize::MAX, |json| json.len())
}
