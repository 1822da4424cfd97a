//! How long a daemon waits for a server.

use std::time::Duration;

use kumquattiller_base::runner;
use kumquattiller_base::time::Moment;

use crate::Gateway;
use crate::config::Repeat;
use crate::http::Job;
use crate::relay::Flight;

/// Time without an answer after which an idempotent plain request goes to a second server, as a
/// part of the time that it had.
const PLAIN_WAIT_PART: f64 = 0.35;
/// Least time without any event of a server that has work before it counts as silent.
const SERVER_SILENCE: Duration = Duration::from_millis(1_500);
/// Least time that a stream gets no event, while its server writes others, before its connection
/// counts as silent.
const STREAM_SILENCE: Duration = Duration::from_millis(1_000);
/// Least time that a stream waits for its first event before it is moved.
const FIRST_EVENT_WAIT: Duration = Duration::from_millis(1_200);
/// How many times its expected reading a stream waits for its first event before it is moved.
const FIRST_EVENT_FACTOR: f64 = 3.0;
/// How many times its aim a stream waits for its first event before it is moved: what was read of
/// its prompt is lost with a move.
const AIM_FACTOR: f64 = 1.5;
/// How many times its longest good pause a stream waits for its next event before it is moved.
const GAP_FACTOR: u32 = 3;

impl Gateway {
    /// Returns until when the head of an answer is waited for.
    pub fn head_wait(&self, job: &Job, flight: &Flight, sends: u32) -> Moment {
        let last_try = sends + 1 >= job.route.max_attempts;
        if job.route.repeat == Repeat::Never || last_try {
            return job.end;
        }
        let now = self.now();
        let span = if job.route.streaming {
            let expected = flight.placement().first_ms / 1e3 * FIRST_EVENT_FACTOR;
            let usual = FIRST_EVENT_WAIT + Duration::from_secs_f64(expected);
            usual.max(job.route.target_latency.mul_f64(AIM_FACTOR))
        } else {
            job.left(now).mul_f64(PLAIN_WAIT_PART)
        };
        job.end.min(now + span)
    }

    /// Returns until when the next event of a stream is waited for, whose last came at `last` and
    /// that has been sent `sends` times. A server writes for all its streams in turn: one that is
    /// left out has lost its connection. A server that reads a long prompt writes nothing
    /// meanwhile, and a stream that may not go on elsewhere is waited for to its end.
    pub fn event_wait(&self, job: &Job, flight: &Flight, last: Moment, sends: u32) -> Moment {
        if job.route.repeat != Repeat::Rest || sends >= job.route.max_attempts {
            return job.end;
        }
        let server = &flight.placement().server;
        let heard = self.heard.borrow().get(server).copied().unwrap_or_default();
        let left_out = STREAM_SILENCE.max(job.route.target_gap * GAP_FACTOR);
        if heard.since(last) >= left_out {
            return last + left_out;
        }
        let load = self.ledger.borrow().server_load(server, self.now());
        let reading = Duration::from_secs_f64(load.backlog_ms / 1e3);
        last + SERVER_SILENCE.max(job.route.target_gap * GAP_FACTOR) + reading
    }

    /// Returns until when a server that has work counts as alive without saying more.
    pub fn alive_until(&self, server: &runner::Id) -> Moment {
        self.heard.borrow().get(server).map_or(Moment::ZERO, |at| *at + SERVER_SILENCE)
    }

    /// Notes that a server said something.
    pub fn heard(&self, server: &runner::Id) {
        self.heard.borrow_mut().insert(server.clone(), self.now());
    }
}
