use std::time::Duration;

/// How a request ended, as the caller saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Status {
    /// The completion was received in full.
    Done,
    /// The server reported that nothing ran; holds the error kind.
    Refused(String),
    /// The request failed in any other way; holds the error kind or a description.
    Failed(String),
}

/// A completion as the caller received it, with its timings.
#[derive(Debug, Clone)]
pub struct Completion {
    /// Id of the request; empty when the response had none.
    pub request_id: String,
    /// Id of the last event that had one; empty when none had.
    pub last_event_id: String,
    /// The generated text.
    pub text: String,
    /// Time from the request to the first event with text.
    pub first_token: Option<Duration>,
    /// Times between consecutive events with text.
    pub token_gaps: Vec<Duration>,
    /// Time from the request to the end of the response.
    pub total: Duration,
    /// How the request ended.
    pub status: Status,
}
