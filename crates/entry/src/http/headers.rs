//! Request headers of callers.

use std::time::Duration;

use kumquattiller_base::account;
use kumquattiller_base::error;
use kumquattiller_base::request;
use kumquattiller_telemetry::traces;
use poem::http::HeaderMap;
use poem::http::header::AUTHORIZATION;

use crate::http::Error;
use crate::http::EventId;
use crate::snapshot::Snapshot;

/// Header with the time limit of the request, in milliseconds.
pub const DEADLINE: &str = "X-Deadline-Ms";
/// Header with the idempotency key of a non-idempotent request.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// Header with the id of the last server-sent event that the caller received.
pub const LAST_EVENT_ID: &str = "Last-Event-ID";
/// Header with the id of the request.
pub const REQUEST_ID: &str = "X-Request-Id";
/// Scheme that precedes the credential in `Authorization`.
const BEARER: &str = "Bearer ";

/// Returns the client account that the credential belongs to.
pub fn account(headers: &HeaderMap, snapshot: &Snapshot) -> Result<account::Id, Error> {
    let value = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let credential = value.and_then(|value| value.strip_prefix(BEARER));
    let account = credential.and_then(|credential| snapshot.account_of(credential));
    account.cloned().ok_or_else(|| error::Kind::UnknownAccount.into())
}

/// Returns the time limit that the caller set, if any.
pub fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, Error> {
    let Some(text) = header_text(headers, DEADLINE)? else {
        return Ok(None);
    };
    match text.trim().parse::<i64>() {
        Ok(ms) if ms <= 0 => Err(error::Kind::DeadlineExpired.into()),
        Ok(ms) => Ok(Some(Duration::from_millis(ms.unsigned_abs()))),
        Err(_) => Err(invalid_header(DEADLINE, "must be whole milliseconds")),
    }
}

/// Returns the idempotency key, if any.
pub fn idempotency_key(
    headers: &HeaderMap,
    account: &account::Id,
) -> Result<Option<request::Key>, Error> {
    let Some(text) = header_text(headers, IDEMPOTENCY_KEY)? else {
        return Ok(None);
    };
    let key = request::Key::new(account.clone(), text);
    key.map(Some).ok_or_else(|| error::Kind::InvalidKey.into())
}

/// Returns the event after which to resume a stream, if the caller asks for that.
pub fn last_event_id(headers: &HeaderMap) -> Result<Option<EventId>, Error> {
    let Some(text) = header_text(headers, LAST_EVENT_ID)? else {
        return Ok(None);
    };
    text.parse().map(Some).map_err(|_| invalid_header(LAST_EVENT_ID, "is not one of this system"))
}

/// Returns the trace context of the request; a new trace starts without a valid header.
pub fn trace(headers: &HeaderMap) -> traces::Context {
    let value = headers.get(traces::HEADER).and_then(|value| value.to_str().ok());
    traces::Context::from_traceparent(value)
}

fn header_text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, Error> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    value.to_str().map(Some).map_err(|_| invalid_header(name, "must be printable ASCII"))
}

fn invalid_header(name: &str, problem: &str) -> Error {
    Error::not_admitted(error::Kind::InvalidHeader).with_detail(format!("{name} {problem}"))
}
