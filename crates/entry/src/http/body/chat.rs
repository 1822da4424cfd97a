use serde::Deserialize;

use crate::http::Error;
use crate::http::body;
use crate::http::body::Parameters;
use crate::http::body::Prompt;

/// Body of `POST /v1/chat/completions`; unknown fields are ignored.
#[derive(Debug, Deserialize)]
pub struct Chat {
    model: Option<String>,
    messages: Vec<Message>,
    #[serde(alias = "max_completion_tokens")]
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    content: String,
}

impl TryFrom<Chat> for Parameters {
    type Error = Error;

    fn try_from(body: Chat) -> Result<Self, Error> {
        let lines: Vec<String> =
            body.messages.iter().map(|m| format!("{}: {}\n", m.role, m.content)).collect();
        let (prompt, tokens) = Prompt::Text(lines.concat()).into_text();
        Ok(Self {
            model: body::model(body.model)?,
            prompt,
            tokens,
            max_tokens: body::max_tokens(body.max_tokens)?,
            stream: body.stream,
        })
    }
}
