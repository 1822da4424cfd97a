//! Bodies of model requests.

mod chat;
mod completion;
mod named;
mod prompt;

pub use chat::Chat;
pub use completion::Completion;
pub use named::Named;
pub use prompt::Prompt;

use kumquattiller_base::error;
use kumquattiller_base::size::Tokens;
use serde::de::DeserializeOwned;

use crate::http::Error;

/// Tokens to generate unless the caller says how many.
const DEFAULT_MAX_TOKENS: u64 = 512;
/// Most tokens that a caller can ask for.
const MOST_MAX_TOKENS: u64 = 131_072;

/// What both shapes of a model request have in common.
#[derive(Debug)]
pub struct Parts {
    /// The model.
    pub model: String,
    /// The prompt's text.
    pub prompt: String,
    /// Tokens of the prompt.
    pub tokens: Tokens,
    /// Most tokens to generate.
    pub max_tokens: Tokens,
    /// Whether the answer is streamed.
    pub stream: bool,
}

/// Reads a body; an error names the field.
pub fn read<T: DeserializeOwned>(data: &[u8]) -> Result<T, Error> {
    let mut json = serde_json::Deserializer::from_slice(data);
    serde_path_to_error::deserialize(&mut json).map_err(|error| {
        let path = error.path().to_string();
        let detail = format!("field {path:?}: {}", error.inner());
        Error::not_admitted(error::Kind::MalformedBody).with_detail(detail)
    })
}

/// Checks the number of tokens that a caller asks for.
fn max_tokens(asked: Option<u64>) -> Result<Tokens, Error> {
    match asked.unwrap_or(DEFAULT_MAX_TOKENS) {
        count @ 1..=MOST_MAX_TOKENS => Ok(Tokens::new(count)),
        count => {
            let detail = format!("max_tokens {count} is not within 1 to {MOST_MAX_TOKENS}");
            Err(Error::not_admitted(error::Kind::MalformedBody).with_detail(detail))
        }
    }
}

/// Checks that a model is named.
fn model(name: Option<String>) -> Result<String, Error> {
    name.filter(|name| !name.is_empty()).ok_or_else(|| error::Kind::MissingModel.into())
}
