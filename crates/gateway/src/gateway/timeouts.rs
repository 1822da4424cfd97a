//! Timeouts for responses of backend servers.

use std::time::Duration;

use kumquattiller_base::runner;
use kumquattiller_base::time::Moment;

use crate::Gateway;
use crate::config::Retry;
use crate::http::Request;
use crate::relay::Dispatch;

/// Fraction of its remaining time after which an idempotent request without streaming and without a
/// response is sent to a second server.
const NON_STREAMING_WAIT_FRACTION: f64 = 0.35;
/// Minimum time without any event from a server that has work before it counts as silent.
const SERVER_SILENCE: Duration = Duration::from_millis(1_500);
/// Minimum time without an event on a stream, while its server writes to other streams, before the
/// connection counts as silent.
const STREAM_SILENCE: Duration = Duration::from_millis(1_000);
/// Minimum time to wait for the first event of a stream before it is moved to another server.
const FIRST_EVENT_WAIT: Duration = Duration::from_millis(1_200);
/// Multiple of the expected prefill time that is added to [`FIRST_EVENT_WAIT`].
const FIRST_EVENT_FACTOR: f64 = 3.0;
/// Minimum wait for the first event of a stream, as a multiple of its target latency. Moving a
/// stream to another server discards the prefill that has been done.
const TARGET_LATENCY_FACTOR: f64 = 1.5;
/// Minimum wait for the next event of a stream before it is moved, as a multiple of its target gap.
const GAP_FACTOR: u32 = 3;

impl Gateway {
    /// Returns the time until which the head of a response is awaited. `attempts` is the number of
    /// earlier attempts.
    pub fn head_deadline(&self, request: &Request, dispatch: &Dispatch, attempts: u32) -> Moment {
        let last_attempt = attempts + 1 >= request.route.max_attempts;
        if request.route.retry == Retry::Never || last_attempt {
            return dispatch.deadline();
        }
        let now = self.now();
        let wait = if request.route.streaming {
            let expected_s = dispatch.placement().first_ms / 1e3 * FIRST_EVENT_FACTOR;
            let expected_wait = FIRST_EVENT_WAIT + Duration::from_secs_f64(expected_s);
            expected_wait.max(request.route.target_latency.mul_f64(TARGET_LATENCY_FACTOR))
        } else {
            request.time_left(now).mul_f64(NON_STREAMING_WAIT_FRACTION)
        };
        dispatch.deadline().min(now + wait)
    }

    /// Returns the time until which the next event of a stream is awaited. `last_event_at` is the
    /// time of its last event, and `attempts` the number of attempts so far.
    ///
    /// A server writes to all its streams in turn, so a stream that gets nothing while others do
    /// has lost its connection. A server that prefills a long prompt sends nothing meanwhile. A
    /// stream that may not be resumed elsewhere is awaited until the deadline of the attempt.
    pub fn event_deadline(
        &self,
        request: &Request,
        dispatch: &Dispatch,
        last_event_at: Moment,
        attempts: u32,
    ) -> Moment {
        if request.route.retry != Retry::Rest || attempts >= request.route.max_attempts {
            return dispatch.deadline();
        }
        let server = &dispatch.placement().server;
        let last_heard = self.last_heard.borrow().get(server).copied().unwrap_or_default();
        let stream_silence = STREAM_SILENCE.max(request.route.target_gap * GAP_FACTOR);
        if last_heard.since(last_event_at) >= stream_silence {
            return dispatch.deadline().min(last_event_at + stream_silence);
        }
        let load = self.ledger.borrow().server_load(server, self.now());
        let prefill = Duration::from_secs_f64(load.backlog_ms / 1e3);
        let silence = SERVER_SILENCE.max(request.route.target_gap * GAP_FACTOR) + prefill;
        dispatch.deadline().min(last_event_at + silence)
    }

    /// Returns the time until which a server that has work counts as alive without sending more.
    pub fn alive_until(&self, server: &runner::Id) -> Moment {
        self.last_heard.borrow().get(server).map_or(Moment::ZERO, |at| *at + SERVER_SILENCE)
    }

    /// Records that a server sent part of a response.
    pub fn record_activity(&self, server: &runner::Id) {
        self.last_heard.borrow_mut().insert(server.clone(), self.now());
    }
}
