use std::time::Duration;

use kumquattiller_base::error;
use kumquattiller_base::outcome::Outcome;
use kumquattiller_base::request;
use poem::IntoResponse;
use poem::Response;
use poem::http::StatusCode;
use poem::http::header::RETRY_AFTER;
use serde::Serialize;

/// An answer other than the whole answer of the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// Why.
    pub kind: error::Kind,
    /// Whether the request ran.
    pub ran: error::Ran,
    /// When trying again makes sense.
    pub retry_after: Option<Duration>,
    /// The request, once it has an id.
    pub request: Option<request::Id>,
    /// What the table's message does not say.
    pub detail: Option<String>,
}

/// The body of an error answer.
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
    /// Makes the answer to a request that was refused before anything was sent.
    pub const fn not_admitted(kind: error::Kind) -> Self {
        Self { kind, ran: error::Ran::No, retry_after: None, request: None, detail: None }
    }

    /// Makes the answer to an admitted request whose outcome was lost in this process.
    pub const fn outcome_lost(request: request::Id) -> Self {
        let kind = error::Kind::Internal;
        let ran = error::Ran::Unknown;
        Self { kind, ran, retry_after: None, request: Some(request), detail: None }
    }

    /// Adds what the table's message does not say.
    pub fn with_detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = Some(detail.into());
        self
    }

    /// Makes the answer to a request that started and failed.
    pub const fn failed(request: request::Id, kind: error::Kind) -> Self {
        let request = Some(request);
        Self { kind, ran: error::Ran::Yes, retry_after: None, request, detail: None }
    }

    /// Makes the answer to an outcome, or `None` when the request is done.
    pub fn of(request: request::Id, outcome: &Outcome) -> Option<Self> {
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
        let retry_after_ms = self.wait().map(|wait| wait.as_millis() as u64);
        let request = self.request.map(|id| id.to_string());
        let error = Payload { kind: self.kind, message, ran: self.ran, retry_after_ms, request };
        serde_json::to_string(&Envelope { error }).unwrap_or_default()
    }

    /// Returns when trying again makes sense.
    fn wait(&self) -> Option<Duration> {
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
        if let Some(wait) = self.wait() {
            let seconds = wait.as_millis().div_ceil(1_000).max(1);
            response = response.header(RETRY_AFTER, seconds.to_string());
        }
        response.body(self.to_json())
    }
}
