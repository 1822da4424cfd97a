use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header;
use kumquattiller_base::time::Moment;
use tokio::time::timeout_at;

use crate::Gateway;
use crate::dialect::ResponseInfo;
use crate::http::Connection;
use crate::http::Received;
use crate::http::Request;
use crate::relay::Dispatch;

/// Interval at which the timeout of a waiting stream is recomputed.
const RECHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Result of waiting for more of a stream.
pub(super) enum Next {
    /// More bytes of the response.
    Bytes(Bytes),
    /// The end of the response.
    End,
    /// The connection failed.
    Broken(hyper::Error),
    /// Nothing arrived before the timeout.
    Silent,
    /// The deadline of the request has passed.
    DeadlineExceeded,
}

/// The server that a stream currently comes from.
pub(super) struct Source {
    pub dispatch: Dispatch,
    pub connection: Connection,
    pub info: ResponseInfo,
    body: Incoming,
    /// Whether the response states its end; otherwise it ends with its connection.
    has_stated_end: bool,
    /// When its first event arrived.
    pub writing_since: Option<Moment>,
    /// Whether the request is known not to crash servers when they begin to write.
    pub exonerated: bool,
}

impl Source {
    pub fn new(dispatch: Dispatch, received: Received) -> Self {
        let Received { connection, head, info, body, .. } = received;
        let has_stated_end = head.headers.contains_key(header::CONTENT_LENGTH)
            || head.headers.contains_key(header::TRANSFER_ENCODING);
        Self {
            dispatch,
            connection,
            info,
            body,
            has_stated_end,
            writing_since: None,
            exonerated: false,
        }
    }

    /// Returns whether the end of the response may be a lost connection: the response neither states
    /// its end nor has any event.
    pub const fn may_be_lost(&self) -> bool {
        !self.has_stated_end && self.writing_since.is_none()
    }

    /// Waits for more of the stream, whose last event arrived at `last_event_at`; `attempts` is the
    /// number of attempts so far. The timeout is recomputed at an interval, since meanwhile the
    /// server may begin to prefill a prompt or write only to other streams.
    pub async fn next_chunk(
        &mut self,
        gateway: &Gateway,
        request: &Request,
        last_event_at: Moment,
        attempts: u32,
    ) -> Next {
        loop {
            let wait_until =
                gateway.event_deadline(request, &self.dispatch, last_event_at, attempts);
            let now = gateway.now();
            if now >= request.deadline {
                return Next::DeadlineExceeded;
            }
            if now >= wait_until {
                return Next::Silent;
            }
            let recheck_at = wait_until.min(now + RECHECK_INTERVAL).min(request.deadline);
            match timeout_at(gateway.instant(recheck_at), self.body.frame()).await {
                // The timeout is recomputed.
                Err(_) => {}
                Ok(Some(Ok(frame))) => {
                    // Trailers are not forwarded.
                    if let Ok(bytes) = frame.into_data() {
                        return Next::Bytes(bytes);
                    }
                }
                Ok(Some(Err(error))) => return Next::Broken(error),
                Ok(None) => return Next::End,
            }
        }
    }
}
