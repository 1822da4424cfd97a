use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::header;
use hyper::header::HeaderValue;
use kumquattiller_base::attempt::NotStarted;
use kumquattiller_base::error;

use crate::relay::Broken;

/// The body of a response to a caller.
pub type Body = Pin<Box<dyn hyper::body::Body<Data = Bytes, Error = Broken>>>;

/// An error response that the gateway itself returns to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The kind of error.
    pub kind: error::Kind,
    /// The status code.
    pub status: StatusCode,
    /// Delay after which the caller may retry.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Refuses a request that has not run on any server and never will.
    pub fn not_run(proof: NotStarted, kind: error::Kind, retry_after: Duration) -> Self {
        let NotStarted { .. } = proof;
        Self { kind, status: StatusCode::SERVICE_UNAVAILABLE, retry_after: Some(retry_after) }
    }

    /// Returns the error for a request that may have run. It carries no retry delay.
    pub const fn may_have_run(kind: error::Kind) -> Self {
        let status = match kind {
            error::Kind::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        };
        Self { kind, status, retry_after: None }
    }

    /// Rejects a request that the configuration does not allow or that exceeds a limit.
    pub fn rejected(kind: error::Kind) -> Self {
        let status =
            StatusCode::from_u16(kind.response().status).unwrap_or(StatusCode::BAD_REQUEST);
        Self { kind, status, retry_after: None }
    }

    /// Returns the HTTP response.
    pub fn response(self) -> Response<Body> {
        let mut response =
            Response::new(full(Bytes::from_static(self.kind.response().message.as_bytes())));
        *response.status_mut() = self.status;
        if let Some(after) = self.retry_after {
            let text = retry_after_text(after);
            match HeaderValue::from_str(&text) {
                Ok(value) => _ = response.headers_mut().insert(header::RETRY_AFTER, value),
                Err(error) => {
                    log::error!(target: "request", error:%, text; "invalid Retry-After header")
                }
            }
        }
        response
    }
}

/// Returns the value of a Retry-After header: seconds with two decimals, rounded up, so that callers do
/// not come back too early.
fn retry_after_text(after: Duration) -> String {
    let hundredths = after.as_nanos().div_ceil(10_000_000);
    format!("{}.{:02}", hundredths / 100, hundredths % 100)
}

/// Returns a body with the given content.
pub fn full(bytes: Bytes) -> Body {
    Box::pin(Full::new(bytes).map_err(|never| match never {}))
}

/// Returns a response with the given status, headers and body.
pub fn from_parts(status: StatusCode, headers: HeaderMap, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
