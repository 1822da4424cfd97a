//! Phases of a graceful stop.
//!
//! A load balancer detects only after some failed checks that a daemon is not ready, and callers
//! keep their connections open. A stopping daemon therefore first continues to accept requests, and
//! closes each connection after its response. It then refuses new requests except for those that
//! will certainly end within the grace period: if all daemons are stopped shortly after one
//! another, callers have no other daemon to go to. Shortly before the end of the grace period it
//! answers the requests that still wait for a server. It exits when the last response has been
//! written, or just before the grace period ends.

use std::time::Duration;

use kumquattiller_base::time::Moment;

/// Duration of [`Phase::NotReady`]: two failed readiness checks a
/// second apart, their delays, and a margin that leaves typical streams time to end.
pub const NOTICE_PERIOD: Duration = Duration::from_millis(2_900);
/// Part of the grace period reserved for the last answers and the exit of the process.
pub const EXIT_RESERVE: Duration = Duration::from_millis(250);

/// Part of [`EXIT_RESERVE`] in which nothing more is written, so that the process has exited before
/// it is killed.
const EXIT_MARGIN: Duration = Duration::from_millis(75);

/// Interval at which a stopping daemon checks whether it may exit.
pub const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The same in [`Phase::Over`].
pub const LAST_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Typical time from the exit of a process until its successor is ready.
const RESTART_TIME: Duration = Duration::from_millis(600);
/// Multiple of its expected duration that must remain for a request to be accepted in
/// [`Phase::Finishing`].
const FIT_FACTOR: u32 = 2;
/// The same for a request that has been placed, whose expected duration takes its server's load into
/// account. Others may be placed there later.
const PLACED_FIT_FACTOR: f64 = 1.5;

/// Phase of a daemon, which determines how it treats requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// Accepts requests.
    Serving,
    /// Accepts requests and closes each connection after its response. The readiness check fails.
    #[strum(serialize = "noticing")]
    NotReady,
    /// Closes idle connections, accepts only requests that will certainly end in time, and finishes
    /// those in progress.
    Finishing,
    /// The grace period is about to end; no request is accepted, and those that wait for a server
    /// are answered.
    Over,
}

/// State of the graceful stop of a daemon.
#[derive(Debug, Clone, Copy)]
pub struct Stop {
    requested_at: Option<Moment>,
    grace: Duration,
    closed: bool,
}

impl Stop {
    /// Creates the state of a daemon that is not stopping.
    pub const fn new(grace: Duration) -> Self {
        Self { requested_at: None, grace, closed: false }
    }

    /// Records the start of the graceful stop; further calls have no effect.
    pub fn begin(&mut self, now: Moment) {
        self.requested_at.get_or_insert(now);
    }

    /// Enters [`Phase::Over`] even if the grace period is not over, so that no request starts while
    /// the process exits.
    pub const fn close(&mut self) {
        self.closed = true;
    }

    /// Returns whether a request that is expected to run for `expected` may still start.
    pub fn accepts(&self, expected: Duration, now: Moment) -> bool {
        let end = self.requested_at.map(|at| at + self.grace - EXIT_RESERVE);
        match self.phase(now) {
            Phase::Serving | Phase::NotReady => true,
            Phase::Finishing => end.is_some_and(|end| now + expected * FIT_FACTOR < end),
            Phase::Over => false,
        }
    }

    /// Returns whether a request that has been placed, and is expected to run for `expected`, ends in
    /// time.
    pub fn fits(&self, expected: Duration, now: Moment) -> bool {
        let Some(requested_at) = self.requested_at else {
            return true;
        };
        let left = (requested_at + self.grace).since(now).saturating_sub(EXIT_RESERVE);
        self.phase(now) != Phase::Over && expected < left.div_f64(PLACED_FIT_FACTOR)
    }

    /// Returns whether the process must exit, also if responses are not fully written.
    pub fn must_exit(&self, now: Moment) -> bool {
        self.requested_at.is_some_and(|at| now.since(at) + EXIT_MARGIN >= self.grace)
    }

    /// Returns the maximum time until the daemon has stopped and restarted.
    pub fn restart_delay(&self, now: Moment) -> Duration {
        self.requested_at.map_or(Duration::ZERO, |at| (at + self.grace + RESTART_TIME).since(now))
    }

    /// Returns the current phase.
    pub fn phase(&self, now: Moment) -> Phase {
        let Some(requested_at) = self.requested_at else {
            return Phase::Serving;
        };
        if self.closed {
            return Phase::Over;
        }
        let elapsed = now.since(requested_at);
        if elapsed < NOTICE_PERIOD {
            return Phase::NotReady;
        }
        if elapsed + EXIT_RESERVE < self.grace { Phase::Finishing } else { Phase::Over }
    }
}
