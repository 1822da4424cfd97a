use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::header;
use hyper::header::HeaderName;
use kumquattiller_base::runner;
use kumquattiller_base::time::Moment;
use log::info;

use crate::Gateway;
use crate::config::Retry;
use crate::events::Splitter;
use crate::health::Outcome;
use crate::http::Body;
use crate::http::Exchange;
use crate::http::Received;
use crate::http::Request;
use crate::http::Verdict;
use crate::http::classify;
use crate::http::send;
use crate::http::wait_while_alive;
use crate::relay::Broken;
use crate::relay::Dispatch;
use crate::relay::source::Next;
use crate::relay::source::Source;
use crate::reservation::Reservations;
use crate::unread::Writer;

/// Time for which a server must have been writing to a request that has not crashed it. A server
/// that a request crashes ends with the first events at the latest.
const EXONERATION_TIME: Duration = Duration::from_millis(250);

/// Headers that speak of the whole body of a response. They are not passed on where another server may
/// continue the stream.
const WHOLE_BODY_HEADERS: [HeaderName; 8] = [
    header::CONTENT_LENGTH,
    header::CONTENT_RANGE,
    header::ACCEPT_RANGES,
    header::ETAG,
    HeaderName::from_static("content-md5"),
    HeaderName::from_static("content-digest"),
    HeaderName::from_static("digest"),
    HeaderName::from_static("repr-digest"),
];

/// The attempts of a request until its stream begins, including the current one.
#[derive(Debug)]
pub struct History {
    /// Servers that it was placed on.
    pub tried: Vec<runner::Id>,
    /// Number of attempts, without those whose connection could not be opened.
    pub attempts: u32,
}

/// A stream that is being received for a caller. Dropping it closes the connection to the server.
struct Relay {
    gateway: Rc<Gateway>,
    request: Rc<Request>,
    source: Option<Source>,
    splitter: Splitter,
    /// Type of its content.
    media_type: Option<String>,
    /// Servers that it was placed on.
    tried: Vec<runner::Id>,
    attempts: u32,
    first_event_at: Option<Moment>,
    last_event_at: Moment,
    /// Number of chunks of whole events forwarded to the caller.
    chunks: u32,
    /// Longest gap between events so far.
    longest_gap: Duration,
    ended: bool,
}

/// Returns the response to a caller, which relays the stream that has begun at a server.
pub fn response(
    gateway: Rc<Gateway>,
    request: Rc<Request>,
    dispatch: Dispatch,
    history: History,
    received: Received,
) -> Response<Body> {
    let status = received.head.status;
    let mut headers = gateway.dialect().response_headers(&received.head.headers);
    if request.route.retry == Retry::Rest {
        WHOLE_BODY_HEADERS.iter().for_each(|name| _ = headers.remove(name));
    }
    let last_event_at = gateway.now();
    let relay = Relay {
        tried: history.tried,
        gateway,
        request,
        media_type: media_type(&received.head.headers),
        source: Some(Source::new(dispatch, received)),
        splitter: Splitter::default(),
        attempts: history.attempts,
        first_event_at: None,
        last_event_at,
        chunks: 0,
        longest_gap: Duration::ZERO,
        ended: false,
    };
    let (writer, body) = relay.gateway.unread().open(&relay.request.metadata.id);
    tokio::task::spawn_local(relay.forward(writer));
    crate::http::response_from_parts(status, headers, Box::pin(body))
}

impl Relay {
    /// Receives the stream, as fast as its server sends it, until its end or until nobody reads it
    /// any more.
    async fn forward(mut self, writer: Writer) {
        let gateway = self.gateway.clone();
        loop {
            let next = tokio::select! {
                biased;
                () = writer.closed() => {
                    self.ended = writer.is_cut_off();
                    return;
                }
                next = gateway.before_exit(self.next()) => next,
            };
            match next.unwrap_or_else(|| Some(self.abort())) {
                Some(Ok(events)) => writer.push(&events),
                Some(Err(broken)) => return writer.end(Err(broken)),
                None => return writer.end(Ok(())),
            }
        }
    }

    /// Returns the next whole events, or `None` after the end of the stream.
    async fn next(&mut self) -> Option<Result<Bytes, Broken>> {
        if self.ended {
            return None;
        }
        loop {
            let Some(source) = &mut self.source else {
                if self.resume().await {
                    continue;
                }
                return Some(self.abort());
            };
            let next =
                source.next_chunk(&self.gateway, &self.request, self.last_event_at, self.attempts);
            match next.await {
                Next::Bytes(bytes) => match self.push_bytes(&bytes) {
                    Some(events) => return Some(Ok(events)),
                    None => continue,
                },
                Next::End if self.splitter.is_partial() => {
                    self.blame_for_exit();
                    self.drop_source(Outcome::Broken, "stream ended in the middle of an event");
                }
                Next::End if self.chunks == 0 && source.may_be_lost() => {
                    self.blame_for_exit();
                    self.drop_source(Outcome::Broken, "connection closed before any event");
                }
                Next::End => {
                    self.finish();
                    return None;
                }
                Next::Broken(error) => {
                    self.blame_for_exit();
                    self.drop_source(Outcome::Broken, &error.to_string());
                }
                Next::Silent => self.drop_source(Outcome::Silent, "no event before the timeout"),
                Next::DeadlineExceeded => {
                    self.drop_source(
                        Outcome::Silent,
                        "stream not complete at the request deadline",
                    );
                    return Some(self.abort());
                }
            }
        }
    }

    /// Processes received bytes and returns the whole events that they complete. Only whole events
    /// show that the server works on the stream.
    fn push_bytes(&mut self, bytes: &[u8]) -> Option<Bytes> {
        let Ok(events) = self.splitter.push(bytes) else {
            self.drop_source(Outcome::Broken, "event exceeds the size limit");
            return None;
        };
        if events.is_empty() {
            return None;
        }
        self.record_events();
        Some(events)
    }

    /// Records that whole events arrived.
    fn record_events(&mut self) {
        let now = self.gateway.now();
        match self.first_event_at {
            Some(_) => self.longest_gap = self.longest_gap.max(now.since(self.last_event_at)),
            None => {
                self.first_event_at = Some(now);
                self.gateway.metrics().first_event(now.since(self.request.arrived));
            }
        }
        self.last_event_at = now;
        self.chunks += 1;
        let first_on_time = self.first_event_at.unwrap_or(now).since(self.request.arrived)
            <= self.request.route.target_latency;
        let on_time = first_on_time && self.longest_gap <= self.request.route.target_gap;
        if let Some(source) = &self.source {
            source.dispatch.record_progress(on_time);
        }
        self.exonerate_if_writing(now);
    }

    /// Exonerates the request if its server has been writing to it for a while.
    fn exonerate_if_writing(&mut self, now: Moment) {
        let Some(source) = &mut self.source else {
            return;
        };
        let writing_since = *source.writing_since.get_or_insert(now);
        if !source.exonerated && now.since(writing_since) >= EXONERATION_TIME {
            source.exonerated = true;
            self.gateway.exonerate(&self.request);
        }
    }

    /// Checks whether the server has exited, unless the request is known not to be the cause.
    fn blame_for_exit(&self) {
        if let Some(source) = self.source.as_ref().filter(|source| !source.exonerated) {
            let server = &source.dispatch.placement().server;
            self.gateway.check_server_exit(&self.request, server);
        }
    }

    /// Marks the stream as complete and returns its connection to the pool.
    fn finish(&mut self) {
        self.ended = true;
        let Some(source) = self.source.take() else {
            return;
        };
        source.dispatch.record_success(StatusCode::OK);
        let first_event_at = self.first_event_at.unwrap_or(self.last_event_at);
        info!(
            target: "request", id = self.request.metadata.id, route = self.request.route.name,
            first_ms = first_event_at.since(self.request.arrived).as_millis() as u64,
            aim_ms = self.request.route.target_latency.as_millis() as u64,
            longest_gap_ms = self.longest_gap.as_millis() as u64,
            good_gap_ms = self.request.route.target_gap.as_millis() as u64, sends = self.attempts;
            "stream complete"
        );
        if source.writing_since.is_some() {
            self.gateway.exonerate(&self.request);
        }
        self.gateway.pool().put(source.connection, source.info.keep_alive, self.gateway.now());
    }

    /// Drops the connection to the current server and any partial event.
    fn drop_source(&mut self, outcome: Outcome, why: &str) {
        if let Some(source) = self.source.take() {
            source.dispatch.record_outcome(outcome, why);
        }
        self.splitter.discard_partial();
    }

    /// Ends the stream before it is complete.
    fn abort(&mut self) -> Result<Bytes, Broken> {
        self.ended = true;
        info!(
            target: "request", id = self.request.metadata.id, sends = self.attempts,
            pieces = self.chunks,
            ms = self.gateway.now().since(self.request.arrived).as_millis() as u64;
            "stream interrupted"
        );
        self.gateway.metrics().stream_interrupted();
        Err(Broken)
    }

    /// Returns whether a response may be the rest of the stream.
    fn is_continued_by(&self, received: &Received) -> bool {
        let is_same_type = media_type(&received.head.headers) == self.media_type;
        received.head.status == StatusCode::OK && is_same_type
    }

    /// Resumes the stream at another server, or at one tried before if no other accepts it.
    /// Returns whether it was resumed.
    async fn resume(&mut self) -> bool {
        loop {
            let attempts_exhausted = self.attempts >= self.request.route.max_attempts;
            let allowed = self.request.route.retry == Retry::Rest && !attempts_exhausted;
            if !allowed || self.gateway.is_suspect(&self.request) {
                return false;
            }
            if !self.gateway.withdraw_retry(&self.request) {
                return false;
            }
            let elsewhere = self.gateway.place(&self.request, &self.tried);
            let Ok(placement) = elsewhere.or_else(|_| self.gateway.place(&self.request, &[]))
            else {
                return false;
            };
            self.tried.push(placement.server.clone());
            let Ok(reservations) =
                Reservations::make(&self.gateway, &self.request, &placement).await
            else {
                return false;
            };
            let dispatch = Dispatch::start(&self.gateway, &self.request, &placement, reservations);
            self.attempts += 1;
            let Some(server) = dispatch.server() else {
                continue;
            };
            let wait_until = self.gateway.head_deadline(&self.request, &dispatch, self.attempts);
            let resume_after = self.splitter.last_id().map(<[u8]>::to_vec);
            let sending = send(
                &self.gateway,
                &self.request,
                &server,
                dispatch.helpers(),
                resume_after.as_deref(),
            );
            match wait_while_alive(&self.gateway, &dispatch, wait_until, sending).await {
                Some(Exchange::Received(received)) => {
                    let status = received.head.status;
                    let (id, position) = (&self.request.metadata.id, received.position);
                    let verdict = classify(id, status, &received.info, position);
                    if verdict == Verdict::Success && self.is_continued_by(&received) {
                        dispatch.record_use();
                        self.source = Some(Source::new(dispatch, *received));
                        self.last_event_at = self.gateway.now();
                        return true;
                    }
                    match verdict {
                        Verdict::NotRun => dispatch.record_not_run(status),
                        _ => dispatch.record_failure(status),
                    }
                    if let Some(address) = received.info.failed_server {
                        self.gateway.record_unusable_helper(address);
                    }
                }
                Some(Exchange::NotSent(error)) => {
                    dispatch.record_error(Outcome::Unreachable, &error)
                }
                Some(Exchange::Withheld(exclusion)) => dispatch.log_withheld(exclusion),
                Some(Exchange::ConnectionLost(error)) => {
                    dispatch.record_error(Outcome::Broken, &error);
                    self.gateway.check_server_exit(&self.request, &server.id);
                }
                None => dispatch.record_outcome(Outcome::Silent, "no response before the timeout"),
            }
        }
    }
}

/// Returns the media type of a response without its parameters, in lower case.
fn media_type(headers: &HeaderMap) -> Option<String> {
    let content_type = headers.get(header::CONTENT_TYPE)?.to_str().ok()?;
    let (essence, _parameters) = content_type.split_once(';').unwrap_or((content_type, ""));
    Some(essence.trim().to_ascii_lowercase())
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.ended {
            info!(
                target: "request", id = self.request.metadata.id, pieces = self.chunks,
                silent_ms = self.gateway.now().since(self.last_event_at).as_millis() as u64,
                ms = self.gateway.now().since(self.request.arrived).as_millis() as u64;
                "caller disconnected"
            );
            self.gateway.metrics().caller_disconnected();
        }
    }
}
