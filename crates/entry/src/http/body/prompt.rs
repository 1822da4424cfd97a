use kumquattiller_base::size::Bytes;
use kumquattiller_base::size::Tokens;
use serde::Deserialize;

/// A prompt as text or as token ids.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub enum Prompt {
    /// Text.
    Text(String),
    /// Token ids.
    Ids(Vec<u32>),
}

impl Prompt {
    /// Returns the text that is sent to the runner and its length in tokens.
    pub fn into_text(self) -> (String, Tokens) {
        match self {
            Self::Text(text) => {
                let tokens = Tokens::estimate_for_text(Bytes::new(text.len() as u64));
                (text, tokens)
            }
            Self::Ids(ids) => {
                let tokens = Tokens::new(ids.len() as u64);
                let words: Vec<String> = ids.iter().map(ToString::to_string).collect();
                (words.join(" "), tokens)
            }
        }
    }
}
