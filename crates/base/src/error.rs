//! The closed list of error kinds and the answer that each one gets.

use std::time::Duration;

use strum::IntoEnumIterator;

/// Why a request did not end with its whole answer.
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
    /// The body is not JSON of the expected shape.
    MalformedBody,
    /// The body names no model.
    MissingModel,
    /// No service has the model.
    UnknownModel,
    /// No service has the name.
    UnknownService,
    /// The credential is missing or belongs to no client account.
    UnknownAccount,
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
    /// The runner takes no new work because it is leaving.
    Leaving,
    /// The runner's memory has no room.
    MemoryFull,
    /// The entry daemon takes no new requests because it is stopping.
    Stopping,
    /// The entry daemon has no configuration that it can vouch for.
    NoConfiguration,
    /// The platform's store cannot record the claim that the call needs.
    StoreUnavailable,
    /// The same key is running elsewhere.
    InProgress,
    /// The request ended backend servers before and is refused for a while.
    CrashesBackends,
    /// The request ran out of time after it started.
    DeadlineExceeded,
    /// The runner was lost while the request ran.
    RunnerLost,
    /// The backend server failed the request.
    BackendFailed,
    /// The caller went away.
    Cancelled,
    /// The stream to resume is no longer kept.
    ResumeGone,
    /// The path does not exist.
    NotFound,
    /// A fault of this process.
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

/// How a kind is answered over HTTP.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// The status code, RFC 9110.
    pub status: u16,
    /// The `Retry-After` to send when the decision gave none.
    pub retry_after: Option<Duration>,
    /// What the caller is told.
    pub message: &'static str,
}

const fn plain(status: u16, message: &'static str) -> Answer {
    Answer { status, retry_after: None, message }
}

const fn later(status: u16, seconds: u64, message: &'static str) -> Answer {
    Answer { status, retry_after: Some(Duration::from_secs(seconds)), message }
}

impl Kind {
    /// Returns the answer of this kind.
    pub const fn answer(self) -> Answer {
        match self {
            Self::MalformedBody => plain(400, "the body is not valid JSON for this path"),
            Self::MissingModel => plain(400, "the body names no model"),
            Self::UnknownModel => plain(404, "no service has this model"),
            Self::UnknownService => plain(404, "no service has this name"),
            Self::UnknownAccount => plain(401, "the credential belongs to no client account"),
            Self::BodyTooLarge => plain(413, "the body is over the limit"),
            Self::PromptTooLarge => plain(413, "no reachable set of engines holds the prompt"),
            Self::MissingKey => plain(400, "this call needs an Idempotency-Key header"),
            Self::InvalidKey => plain(400, "the Idempotency-Key is not valid"),
            Self::KeyReused => plain(422, "the Idempotency-Key was used for another body"),
            Self::InvalidHeader => plain(400, "a header's value is not valid"),
            Self::DeadlineExpired => plain(504, "the deadline had passed on arrival"),
            Self::RateLimited => later(429, 1, "the client account is over its limit"),
            Self::Overloaded => later(503, 2, "no runner can finish the request in time"),
            Self::NoRunner => later(503, 2, "no runner of the service is reachable"),
            Self::Leaving => later(503, 1, "the runner takes no new work"),
            Self::MemoryFull => later(503, 1, "the runner's memory has no room"),
            Self::Stopping => later(503, 1, "this entry daemon is stopping"),
            Self::NoConfiguration => later(503, 2, "no configuration is in force here"),
            Self::StoreUnavailable => later(503, 5, "the claim cannot be recorded now"),
            Self::InProgress => later(409, 1, "a request with this key is running"),
            Self::CrashesBackends => later(422, 600, "the request ended backend servers before"),
            Self::DeadlineExceeded => plain(504, "the request ran out of time"),
            Self::RunnerLost => later(502, 1, "the runner was lost while the request ran"),
            Self::BackendFailed => later(502, 1, "the backend server failed the request"),
            Self::Cancelled => plain(499, "the caller went away"),
            Self::ResumeGone => plain(410, "the stream to resume is no longer kept"),
            Self::NotFound => plain(404, "the path does not exist"),
            Self::Internal => plain(500, "a fault of this process"),
        }
    }

    /// Returns what an answer of this kind may say about whether the request ran.
    pub const fn ran(self) -> &'static [Ran] {
        match self {
            Self::MalformedBody
            | Self::MissingModel
            | Self::UnknownModel
            | Self::UnknownService
            | Self::UnknownAccount
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

    /// Returns every kind in the order of the list.
    pub fn all() -> impl Iterator<Item = Self> {
        Self::iter()
    }
}

impl std::error::Error for Kind {}
