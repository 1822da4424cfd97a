use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Response;
use hyper::body::Frame;
use hyper::body::Incoming;
use kumquattiller_base::runner;
use kumquattiller_base::time::Moment;
use log::info;
use tokio::time::timeout_at;

use crate::Gateway;
use crate::config::Repeat;
use crate::dialect::Answer;
use crate::events::Splitter;
use crate::health::Outcome;
use crate::http::Answered;
use crate::http::Body;
use crate::http::Connection;
use crate::http::Job;
use crate::http::Sent;
use crate::http::Verdict;
use crate::http::judge;
use crate::http::patient;
use crate::http::send;
use crate::relay::Broken;
use crate::relay::Flight;
use crate::ticket::Tickets;

/// Time between two looks at how long a stream is waited for.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);

/// What came of waiting for more of a stream.
enum Next {
    /// Bytes.
    Bytes(Bytes),
    /// The end of the answer.
    End,
    /// The connection broke.
    Broken(hyper::Error),
    /// Nothing came for too long.
    Silent,
    /// The time of the request is over.
    Late,
}

/// A part of the stream that comes from one server.
struct Part {
    flight: Flight,
    connection: Connection,
    answer: Answer,
    body: Incoming,
}

/// What a stream has behind it when it begins.
#[derive(Debug)]
pub struct Past {
    /// Servers that it was sent to, its present one among them.
    pub tried: Vec<runner::Id>,
    /// How often it was sent to a server.
    pub sends: u32,
}

/// A stream on its way to the caller. Dropping it closes the connection to the server.
struct Relay {
    gateway: Rc<Gateway>,
    job: Rc<Job>,
    part: Option<Part>,
    splitter: Splitter,
    /// Servers that it was sent to.
    tried: Vec<runner::Id>,
    sends: u32,
    first: Option<Moment>,
    last: Moment,
    /// Pieces of whole events passed on.
    pieces: u32,
    /// Longest pause between events so far.
    longest_gap: Duration,
    ended: bool,
}

/// Returns the answer to a caller whose stream has begun at a server.
pub fn response(
    gateway: Rc<Gateway>,
    job: Rc<Job>,
    flight: Flight,
    past: Past,
    answered: Answered,
) -> Response<Body> {
    let Answered { connection, head, answer, body } = answered;
    let headers = gateway.dialect().answer_headers(&head.headers);
    let last = gateway.now();
    let relay = Relay {
        tried: past.tried,
        gateway,
        job,
        part: Some(Part { flight, connection, answer, body }),
        splitter: Splitter::default(),
        sends: past.sends,
        first: None,
        last,
        pieces: 0,
        longest_gap: Duration::ZERO,
        ended: false,
    };
    let events = stream::unfold(relay, async |mut relay| {
        let frame = relay.next().await?;
        Some((frame.map(Frame::data), relay))
    });
    crate::http::answer_of(head.status, headers, Box::pin(StreamBody::new(events)))
}

impl Relay {
    /// Returns the next whole events, or none after the end.
    async fn next(&mut self) -> Option<Result<Bytes, Broken>> {
        if self.ended {
            return None;
        }
        loop {
            let Some(part) = &mut self.part else {
                if self.resume().await {
                    continue;
                }
                return Some(self.break_off());
            };
            match next(&self.gateway, &self.job, part, self.last, self.sends).await {
                Next::Bytes(bytes) => match self.take(&bytes) {
                    Some(events) => return Some(Ok(events)),
                    None => continue,
                },
                Next::End if self.splitter.is_partial() => {
                    self.lose(Outcome::Broken, "the stream ended within an event");
                }
                Next::End => {
                    self.finish();
                    return None;
                }
                Next::Broken(error) => {
                    self.gateway.suspect(&self.job, &part.flight.placement().server);
                    self.lose(Outcome::Broken, &error.to_string());
                }
                Next::Silent => self.lose(Outcome::Silent, "no event in time"),
                Next::Late => {
                    self.lose(Outcome::Silent, "not finished at the end of the request");
                    return Some(self.break_off());
                }
            }
        }
    }

    /// Takes in bytes; returns the whole events that they complete.
    fn take(&mut self, bytes: &[u8]) -> Option<Bytes> {
        let now = self.gateway.now();
        if self.first.is_some() {
            self.longest_gap = self.longest_gap.max(now.since(self.last));
        }
        self.last = now;
        let begun =
            self.first.unwrap_or(now).since(self.job.arrived) <= self.job.route.target_latency;
        let on_time = begun && self.longest_gap <= self.job.route.target_gap;
        let part = self.part.as_ref()?;
        part.flight.read(on_time);
        let events = match self.splitter.push(bytes) {
            Ok(events) => events,
            Err(_) => {
                self.lose(Outcome::Broken, "an event is too large");
                return None;
            }
        };
        if events.is_empty() {
            return None;
        }
        self.pieces += 1;
        if self.first.is_none() {
            self.first = Some(self.last);
            self.gateway.metrics().first_event(self.last.since(self.job.arrived));
        }
        Some(events)
    }

    /// Ends the stream as complete.
    fn finish(&mut self) {
        self.ended = true;
        let Some(part) = self.part.take() else {
            return;
        };
        part.flight.done(hyper::StatusCode::OK);
        let first = self.first.unwrap_or(self.last);
        info!(
            target: "request", id = self.job.ask.id, route = self.job.route.name,
            first_ms = first.since(self.job.arrived).as_millis() as u64,
            aim_ms = self.job.route.target_latency.as_millis() as u64,
            longest_gap_ms = self.longest_gap.as_millis() as u64,
            good_gap_ms = self.job.route.target_gap.as_millis() as u64, sends = self.sends;
            "stream complete"
        );
        self.gateway.suspects().borrow_mut().clear(self.job.fingerprint);
        self.gateway.pool().put(part.connection, part.answer.keep_alive, self.gateway.now());
    }

    /// Gives the present server up.
    fn lose(&mut self, outcome: Outcome, why: &str) {
        if let Some(part) = self.part.take() {
            part.flight.note(outcome, why);
        }
        self.splitter.restart();
    }

    /// Ends the stream without its end.
    fn break_off(&mut self) -> Result<Bytes, Broken> {
        self.ended = true;
        info!(
            target: "request", id = self.job.ask.id, sends = self.sends, pieces = self.pieces,
            ms = self.gateway.now().since(self.job.arrived).as_millis() as u64;
            "stream broken off"
        );
        self.gateway.metrics().broken_off();
        Err(Broken)
    }

    /// Goes on at another server; returns whether there is one.
    async fn resume(&mut self) -> bool {
        loop {
            let spent = self.sends >= self.job.route.max_attempts;
            let allowed = self.job.route.repeat == Repeat::Rest && !spent;
            if !allowed || !self.gateway.may_resend(&self.job) {
                return false;
            }
            let elsewhere = self.gateway.place(&self.job, &self.tried);
            let Ok(placement) = elsewhere.or_else(|_| self.gateway.place(&self.job, &[])) else {
                return false;
            };
            self.tried.push(placement.server.clone());
            let Ok(tickets) = Tickets::of(&self.gateway, &self.job.ask.id, &placement).await else {
                return false;
            };
            let flight = Flight::start(&self.gateway, &self.job, &placement, tickets);
            self.sends += 1;
            let Some(server) = flight.server() else {
                continue;
            };
            let wait = self.gateway.head_wait(&self.job, &flight, self.sends);
            let after = self.splitter.last_id().map(<[u8]>::to_vec);
            let sending =
                send(&self.gateway, &self.job, &server, flight.helpers(), after.as_deref());
            match patient(&self.gateway, &self.job, &server.id, wait, sending).await {
                Some(Sent::Answered(answered)) => {
                    let Answered { connection, head, answer, body } = *answered;
                    let verdict = judge(&self.job.ask.id, head.status, &answer);
                    if verdict == Verdict::Success {
                        self.part = Some(Part { flight, connection, answer, body });
                        self.last = self.gateway.now();
                        return true;
                    }
                    match verdict {
                        Verdict::NotRun => flight.not_run(head.status),
                        _ => flight.failed(head.status),
                    }
                    if let Some(address) = answer.at_fault {
                        self.gateway.note_at_fault(address);
                    }
                }
                Some(Sent::Unsent(error)) => flight.note_error(Outcome::Unreachable, &error),
                Some(Sent::Lost(error)) => flight.note_error(Outcome::Broken, &error),
                None => flight.note(Outcome::Silent, "no answer in time"),
            }
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.ended {
            info!(
                target: "request", id = self.job.ask.id, pieces = self.pieces,
                silent_ms = self.gateway.now().since(self.last).as_millis() as u64,
                ms = self.gateway.now().since(self.job.arrived).as_millis() as u64;
                "caller left"
            );
            self.gateway.metrics().left();
        }
    }
}

/// Waits for more of a stream whose last event came at `last` and that has been sent `sends`
/// times. How long is looked at anew from time to time: its server may begin to read, or write for
/// others only.
async fn next(gateway: &Gateway, job: &Job, part: &mut Part, last: Moment, sends: u32) -> Next {
    loop {
        let wait = gateway.event_wait(job, &part.flight, last, sends);
        let now = gateway.now();
        if now >= job.end {
            return Next::Late;
        }
        if now >= wait {
            return Next::Silent;
        }
        let look = wait.min(now + LOOK_INTERVAL).min(job.end);
        match timeout_at(gateway.instant(look), part.body.frame()).await {
            // Time to look again.
            Err(_) => {}
            Ok(Some(Ok(frame))) => {
                // Trailers carry nothing for the caller.
                if let Ok(bytes) = frame.into_data() {
                    return Next::Bytes(bytes);
                }
            }
            Ok(Some(Err(error))) => return Next::Broken(error),
            Ok(None) => return Next::End,
        }
    }
}
