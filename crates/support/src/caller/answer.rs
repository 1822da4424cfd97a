use reqwest::Response;
use serde_json::Value;

/// A whole answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// HTTP status, 0 when there was no answer.
    pub status: u16,
    /// Value of `Retry-After`, in seconds.
    pub retry_after: Option<u64>,
    /// The body, or its text when it is not JSON.
    pub body: Value,
}

impl Answer {
    /// Reads a response.
    pub(super) async fn read(response: Response) -> Self {
        let status = response.status().as_u16();
        let retry_after = response.headers().get("retry-after");
        let retry_after = retry_after.and_then(|v| v.to_str().ok()?.parse().ok());
        match response.text().await {
            Ok(text) => {
                let body = serde_json::from_str(&text).unwrap_or(Value::String(text));
                Self { status, retry_after, body }
            }
            Err(error) => Self::lost(&error),
        }
    }

    /// Makes the answer of a request whose connection broke.
    pub(super) fn lost(error: &reqwest::Error) -> Self {
        Self { status: 0, retry_after: None, body: Value::String(error.to_string()) }
    }

    /// Returns the text of a completion.
    pub fn text(&self) -> &str {
        self.body["choices"][0]["text"].as_str().unwrap_or_default()
    }

    /// Returns the error kind, or an empty text.
    pub fn kind(&self) -> &str {
        self.body["error"]["kind"].as_str().unwrap_or_default()
    }

    /// Returns what the answer says of whether the request ran.
    pub fn ran(&self) -> &str {
        self.body["error"]["ran"].as_str().unwrap_or_default()
    }
}
