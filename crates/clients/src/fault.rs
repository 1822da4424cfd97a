/// A call that brought no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// No connection was made, so nothing was done.
    Unsent(String),
    /// The call was sent and its answer was lost, so it may have been carried out.
    Lost(String),
    /// The answer is not of the expected shape.
    Malformed(String),
}

impl Fault {
    /// Sorts an error of the HTTP library by what it proves.
    pub(crate) fn of(error: &reqwest::Error) -> Self {
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
