use hyper::StatusCode;

use crate::dialect::ResponseInfo;

/// Classification of a response by its head.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Verdict {
    /// The request ran and this is its response.
    Success,
    /// The request ran, or may have run, and failed.
    Failure,
    /// The server proves that the request did not run.
    NotRun,
    /// The response belongs to another request, or is not signed or names no request although it
    /// reports success.
    Foreign,
}

/// Classifies a response to the request with the id `request`.
pub fn classify(request: &str, status: StatusCode, info: &ResponseInfo) -> Verdict {
    if info.id.as_deref().is_some_and(|id| id != request) {
        return Verdict::Foreign;
    }
    if info.not_run {
        return Verdict::NotRun;
    }
    if !status.is_success() {
        return Verdict::Failure;
    }
    if info.signed && info.id.is_some() { Verdict::Success } else { Verdict::Foreign }
}
