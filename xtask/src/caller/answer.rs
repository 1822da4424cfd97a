use std::time::Duration;

/// How a call ended, as the caller saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ended {
    /// The whole answer came.
    Done,
    /// The system answered that nothing was started, with the error kind.
    Refused(String),
    /// Any other end, with the error kind or what went wrong.
    Failed(String),
}

/// What a caller got.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Id of the request, when one was given.
    pub request: String,
    /// Id of the last event.
    pub last_event: String,
    /// The text.
    pub text: String,
    /// Time to the first piece.
    pub first_token: Option<Duration>,
    /// Times between pieces.
    pub gaps: Vec<Duration>,
    /// Time to the end.
    pub total: Duration,
    /// How it ended.
    pub ended: Ended,
}
