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
    /// The response belongs to another request, or may do so, or is not signed although it reports
    /// success.
    Foreign,
}

/// Place of a response on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Position {
    /// Nothing was asked on the connection before, so that the response can belong to no other request.
    First,
    /// A server may have written an earlier response once more.
    Later,
}

/// Classifies a response to the request with the id `request`.
pub fn classify(
    request: &str,
    status: StatusCode,
    info: &ResponseInfo,
    position: Position,
) -> Verdict {
    let is_other = match &info.id {
        Some(id) => id != request,
        None => position == Position::Later,
    };
    if is_other {
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
