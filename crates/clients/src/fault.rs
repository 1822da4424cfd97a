/// A call without a usable response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// The request was not sent, so the server did nothing.
    Unsent(String),
    /// The connection or the wait for the response failed, so the call may have been carried out.
    Lost(String),
    /// The response does not have the expected format.
    Malformed(String),
}

impl Fault {
    /// Classifies an error of the HTTP client by whether the request may have been sent.
    pub(crate) fn from_http_error(error: &reqwest::Error) -> Self {
        if error.is_connect() || error.is_builder() {
            return Self::Unsent(error.to_string());
        }
        if error.is_decode() {
            return Self::Malformed(error.to_string());
        }
        Self::Lost(error.to_string())
    }
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unsent(text) => write!(f, "call was not sent: {text}"),
            Self::Lost(text) => write!(f, "answer was lost: {text}"),
            Self::Malformed(text) => write!(f, "answer is malformed: {text}"),
        }
    }
}

impl std::error::Error for Fault {}
