use std::time::Duration;

use kumquattiller_base::error;
use kumquattiller_base::outcome::Outcome;
use kumquattiller_base::request;
use poem::IntoResponse;
use poem::Response;
use poem::http::StatusCode;
use poem::http::header::RETRY_AFTER;
use serde::Serialize;

/// An error response to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// The kind of error.
    pub kind: error::Kind,
    /// Whether the request ran, as far as the daemon knows.
    pub ran: error::Ran,
    /// Time after which the caller may retry, if it differs from the default of the kind.
    pub retry_after: Option<Duration>,
    /// The id of the request, once it has one.
    pub request: Option<request::Id>,
    /// Detail that is appended to the message of the kind.
    pub detail: Option<String>,
}

/// The JSON body of an error response.
#[derive(Debug, Serialize)]
struct Envelope {
    error: Payload,
}

#[derive(Debug, Serialize)]
struct Payload {
    kind: error::Kind,
    message: String,
    ran: error::Ran,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    request: Option<String>,
}

impl Error {
    /// Returns the error of a request that was refused before anything was sent to a runner.
    pub const fn not_admitted(kind: error::Kind) -> Self {
        Self { kind, ran: error::Ran::No, retry_after: None, request: None, detail: None }
    }

    /// Returns the error of an admitted request whose outcome this process lost.
    ///
    /// The request may have run, so the error does not say that it did not.
    pub const fn outcome_lost(request: request::Id) -> Self {
        let kind = error::Kind::Internal;
        let ran = error::Ran::Unknown;
        Self { kind, ran, retry_after: None, request: Some(request), detail: None }
    }

    /// Adds detail to the message of the kind.
    pub fn with_detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = Some(detail.into());
        self
    }

    /// Returns the error of a request that started and failed.
    pub const fn failed(request: request::Id, kind: error::Kind) -> Self {
        let request = Some(request);
        Self { kind, ran: error::Ran::Yes, retry_after: None, request, detail: None }
    }

    /// Returns the error of an outcome, or `None` when the request succeeded.
    pub fn from_outcome(request: request::Id, outcome: &Outcome) -> Option<Self> {
        let (kind, retry_after) = match outcome {
            Outcome::Done { .. } => return None,
            Outcome::NotRun(refusal) => (refusal.kind(), refusal.retry_after()),
            Outcome::Failed(kind) | Outcome::Unknown(kind) => (*kind, None),
        };
        let ran = outcome.ran();
        Some(Self { kind, ran, retry_after, request: Some(request), detail: None })
    }

    /// Returns the JSON body.
    pub fn to_json(&self) -> String {
        let answer = self.kind.answer();
        let message = match &self.detail {
            Some(detail) => format!("{}: {detail}", answer.message),
            None => answer.message.to_owned(),
        };
        let retry_after_ms = self.retry_delay().map(|delay| delay.as_millis() as u64);
        let request = self.request.map(|id| id.to_string());
        let error = Payload { kind: self.kind, message, ran: self.ran, retry_after_ms, request };
        serde_json::to_string(&Envelope { error }).unwrap_or_default()
    }

    /// Returns the time after which the caller may retry.
    fn retry_delay(&self) -> Option<Duration> {
        self.retry_after.or(self.kind.answer().retry_after)
    }
}

impl From<error::Kind> for Error {
    fn from(kind: error::Kind) -> Self {
        Self::not_admitted(kind)
    }
}

impl IntoResponse for Error {
    fn into_response(self) -> Response {
        let status = StatusCode::from_u16(self.kind.answer().status)
            .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = Response::builder().status(status).content_type("application/json");
        if let Some(delay) = self.retry_delay() {
            let seconds = delay.as_millis().div_ceil(1_000).max(1);
            response = response.header(RETRY_AFTER, seconds.to_string());
        }
        response.body(self.to_json())
    }
}
