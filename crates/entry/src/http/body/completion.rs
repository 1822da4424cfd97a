use serde::Deserialize;

use crate::http::Error;
use crate::http::body;
use crate::http::body::Parameters;
use crate::http::body::Prompt;

/// Body of `POST /v1/completions`; unknown fields are ignored.
#[derive(Debug, Deserialize)]
pub struct Completion {
    model: Option<String>,
    prompt: Prompt,
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

impl TryFrom<Completion> for Parameters {
    type Error = Error;

    fn try_from(body: Completion) -> Result<Self, Error> {
        let (prompt, tokens) = body.prompt.into_text();
        Ok(Self {
            model: body::model(body.model)?,
            prompt,
            tokens,
            max_tokens: body::max_tokens(body.max_tokens)?,
            stream: body.stream,
        })
    }
}
