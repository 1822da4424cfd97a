//! The complete list of error kinds and the HTTP response to each.

use std::time::Duration;

use strum::IntoEnumIterator;

/// Reason why a request did not end with its complete response.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
    strum::IntoStaticStr,
    serde::Serialize,
    serde::Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The body is not JSON with the expected fields.
    MalformedBody,
    /// The body names no model.
    MissingModel,
    /// No service has the model.
    UnknownModel,
    /// No service has the name.
    UnknownService,
    /// The credential is missing or belongs to no client account.
    UnknownAccount,
    /// The route and the client account allow no common region.
    RegionNotAllowed,
    /// The body is over the limit.
    BodyTooLarge,
    /// No reachable set of engines holds the prompt.
    PromptTooLarge,
    /// A non-idempotent call came without an `Idempotency-Key`.
    MissingKey,
    /// The `Idempotency-Key` is not valid.
    InvalidKey,
    /// The `Idempotency-Key` was used for another body.
    KeyReused,
    /// A header's value is not valid.
    InvalidHeader,
    /// The deadline had passed on arrival.
    DeadlineExpired,
    /// The client account is over its limit.
    RateLimited,
    /// No runner can finish the request before its deadline.
    Overloaded,
    /// No runner of the service is reachable.
    NoRunner,
    /// All servers of the service are in availability zones that the operator has evacuated.
    Evacuated,
    /// The runner accepts no new work because it is draining.
    Leaving,
    /// The engine's memory is too full for the request.
    MemoryFull,
    /// The entry daemon accepts no new requests because it is stopping.
    Stopping,
    /// The entry daemon has no configuration, or none that was confirmed recently.
    NoConfiguration,
    /// The platform's store cannot record the claim that the call needs.
    StoreUnavailable,
    /// Another request with the same key is running.
    InProgress,
    /// Backend servers died while they ran the request before; it is refused for a while.
    CrashesBackends,
    /// The deadline passed after the request started.
    DeadlineExceeded,
    /// The runner was lost while the request ran.
    RunnerLost,
    /// The backend server failed the request.
    BackendFailed,
    /// The caller closed the connection or cancelled the request.
    Cancelled,
    /// The stream to resume is no longer kept.
    ResumeGone,
    /// The path does not exist.
    NotFound,
    /// An internal error of this process.
    Internal,
}

/// Whether a request ran.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    strum::Display,
    strum::EnumString,
    serde::Serialize,
    serde::Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// It was started on a backend server.
    Yes,
    /// It was started nowhere.
    No,
    /// It may have been started.
    Unknown,
}

/// The HTTP response to an error kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Response {
    /// The status code, RFC 9110.
    pub status: u16,
    /// Default `Retry-After`, sent when the decision itself gives none.
    pub retry_after: Option<Duration>,
    /// Message for the caller.
    pub message: &'static str,
}

/// Builds a response without `Retry-After`.
const fn permanent(status: u16, message: &'static str) -> Response {
    Response { status, retry_after: None, message }
}

/// Builds a response with `Retry-After`, in seconds.
const fn retryable(status: u16, seconds: u64, message: &'static str) -> Response {
    Response { status, retry_after: Some(Duration::from_secs(seconds)), message }
}

impl Kind {
    /// Returns the HTTP response to this kind.
    pub const fn response(self) -> Response {
        match self {
            Self::MalformedBody => permanent(400, "the body is not valid JSON for this path"),
            Self::MissingModel => permanent(400, "the body names no model"),
            Self::UnknownModel => permanent(404, "no service has this model"),
            Self::UnknownService => permanent(404, "no service has this name"),
            Self::UnknownAccount => permanent(401, "the credential belongs to no client account"),
            Self::RegionNotAllowed => permanent(403, "no region is allowed for the request"),
            Self::BodyTooLarge => permanent(413, "the body is over the limit"),
            Self::PromptTooLarge => permanent(413, "no reachable set of engines holds the prompt"),
            Self::MissingKey => permanent(400, "this call needs an Idempotency-Key header"),
            Self::InvalidKey => permanent(400, "the Idempotency-Key is not valid"),
            Self::KeyReused => permanent(422, "the Idempotency-Key was used for another body"),
            Self::InvalidHeader => permanent(400, "a header's value is not valid"),
            Self::DeadlineExpired => permanent(504, "the deadline had passed on arrival"),
            Self::RateLimited => retryable(429, 1, "the client account is over its limit"),
            Self::Overloaded => retryable(503, 2, "no runner can finish the request in time"),
            Self::NoRunner => retryable(503, 2, "no runner of the service is reachable"),
            Self::Evacuated => retryable(503, 2, "the zones of the service are evacuated"),
            Self::Leaving => retryable(503, 1, "the runner takes no new work"),
            Self::MemoryFull => retryable(503, 1, "the runner's memory has no room"),
            Self::Stopping => retryable(503, 1, "this entry daemon is stopping"),
            Self::NoConfiguration => retryable(503, 2, "no configuration is in force here"),
            Self::StoreUnavailable => retryable(503, 5, "the claim cannot be recorded now"),
            Self::InProgress => retryable(409, 1, "a request with this key is running"),
            Self::CrashesBackends => {
                retryable(422, 600, "the request ended backend servers before")
            }
            Self::DeadlineExceeded => permanent(504, "the request ran out of time"),
            Self::RunnerLost => retryable(502, 1, "the runner was lost while the request ran"),
            Self::BackendFailed => retryable(502, 1, "the backend server failed the request"),
            Self::Cancelled => permanent(499, "the caller went away"),
            Self::ResumeGone => permanent(410, "the stream to resume is no longer kept"),
            Self::NotFound => permanent(404, "the path does not exist"),
            Self::Internal => permanent(500, "a fault of this process"),
        }
    }

    /// Returns the values of [`Ran`] that a response of this kind may carry.
    pub const fn possible_ran(self) -> &'static [Ran] {
        match self {
            Self::MalformedBody
            | Self::MissingModel
            | Self::UnknownModel
            | Self::UnknownService
            | Self::UnknownAccount
            | Self::RegionNotAllowed
            | Self::BodyTooLarge
            | Self::PromptTooLarge
            | Self::MissingKey
            | Self::InvalidKey
            | Self::KeyReused
            | Self::InvalidHeader
            | Self::RateLimited
            | Self::Stopping
            | Self::NoConfiguration
            | Self::StoreUnavailable
            | Self::NotFound => &[Ran::No],
            Self::DeadlineExpired
            | Self::Overloaded
            | Self::NoRunner
            | Self::Evacuated
            | Self::Leaving
            | Self::MemoryFull
            | Self::InProgress => &[Ran::No, Ran::Unknown],
            Self::ResumeGone => &[Ran::Yes],
            Self::DeadlineExceeded | Self::RunnerLost | Self::BackendFailed | Self::Cancelled => {
                &[Ran::Yes, Ran::Unknown]
            }
            Self::CrashesBackends | Self::Internal => &[Ran::No, Ran::Yes, Ran::Unknown],
        }
    }

    /// Returns all kinds in the order of their declaration.
    pub fn all() -> impl Iterator<Item = Self> {
        Self::iter()
    }
}

impl std::error::Error for Kind {}
