//! Request bodies of the model endpoints.
//!
//! Unknown fields are ignored because they may belong to other API dialects.

mod chat;
mod completion;
mod prompt;
mod resume;

pub use chat::Chat;
pub use completion::Completion;
pub use prompt::Prompt;
pub use resume::Resume;

use kumquattiller_base::error;
use kumquattiller_base::size::Tokens;
use serde::de::DeserializeOwned;

use crate::http::Error;

/// Default of `max_tokens`, in tokens.
const DEFAULT_MAX_TOKENS: u64 = 512;
/// Largest `max_tokens` that a caller may request, in tokens.
const MAX_TOKENS_LIMIT: u64 = 131_072;

/// Parameters that both model endpoints share.
#[derive(Debug)]
pub struct Parameters {
    /// The model.
    pub model: String,
    /// The prompt's text.
    pub prompt: String,
    /// Length of the prompt, in tokens.
    pub tokens: Tokens,
    /// Largest number of tokens to generate.
    pub max_tokens: Tokens,
    /// Whether the response is streamed.
    pub stream: bool,
}

/// Deserializes a body.
///
/// # Errors
///
/// Fails when the body is malformed; the error contains the path of the field.
pub fn read<T: DeserializeOwned>(data: &[u8]) -> Result<T, Error> {
    let mut json = serde_json::Deserializer::from_slice(data);
    serde_path_to_error::deserialize(&mut json).map_err(|error| {
        let path = error.path().to_string();
        let detail = format!("field {path:?}: {}", error.inner());
        Error::not_admitted(error::Kind::MalformedBody).with_detail(detail)
    })
}

/// Returns the requested `max_tokens` or its default, if it is within the limit.
fn max_tokens(requested: Option<u64>) -> Result<Tokens, Error> {
    match requested.unwrap_or(DEFAULT_MAX_TOKENS) {
        count @ 1..=MAX_TOKENS_LIMIT => Ok(Tokens::new(count)),
        count => {
            let detail = format!("max_tokens {count} is not within 1 to {MAX_TOKENS_LIMIT}");
            Err(Error::not_admitted(error::Kind::MalformedBody).with_detail(detail))
        }
    }
}

/// Returns the model name, if the body has one.
fn model(name: Option<String>) -> Result<String, Error> {
    name.filter(|name| !name.is_empty()).ok_or_else(|| error::Kind::MissingModel.into())
}
