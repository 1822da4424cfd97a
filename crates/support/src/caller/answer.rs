use reqwest::Response;
use serde_json::Value;

/// A complete HTTP response.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// HTTP status, or 0 when there was no response.
    pub status: u16,
    /// Value of `Retry-After`, in seconds.
    pub retry_after: Option<u64>,
    /// The body as JSON, or as a string when it is not JSON.
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
            Err(error) => Self::from_error(&error),
        }
    }

    /// Returns the answer of a request that failed without a complete response.
    pub(super) fn from_error(error: &reqwest::Error) -> Self {
        Self { status: 0, retry_after: None, body: Value::String(error.to_string()) }
    }

    /// Returns the text of a completion, or an empty string.
    pub fn text(&self) -> &str {
        self.body["choices"][0]["text"].as_str().unwrap_or_default()
    }

    /// Returns the kind of the error, or an empty string.
    pub fn kind(&self) -> &str {
        self.body["error"]["kind"].as_str().unwrap_or_default()
    }

    /// Returns the field `ran` of the error, which states whether the request ran, or an empty
    /// string.
    pub fn ran(&self) -> &str {
        self.body["error"]["ran"].as_str().unwrap_or_default()
    }
}
