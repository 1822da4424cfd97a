//! Phases of a graceful stop.
//!
//! A balancer notices only after some failed checks that a daemon is not ready, and callers keep
//! their connections. So a stopping daemon first goes on taking requests and closes each
//! connection with its answer. Then it refuses new ones, but for those that surely end within the
//! grace: where all daemons are stopped one shortly after the other, callers have no other one.
//! It ends when the last answer is out or the grace is over.

use std::time::Duration;

use kumquattiller_base::time::Moment;

/// How long a stopping daemon goes on taking requests: two missed checks a second apart, their
/// delays, and as much more as leaves usual streams time to end.
pub const NOTICE: Duration = Duration::from_millis(2_900);
/// Time kept back from the grace for the end of the process.
pub const EXIT_RESERVE: Duration = Duration::from_millis(250);

/// How often a stopping daemon looks whether it may end.
pub const INTERVAL: Duration = Duration::from_millis(50);

/// Usual time from the end of a process to the readiness of the next one.
const RESTART: Duration = Duration::from_millis(600);
/// How many times its expected length a request must fit into the time that is left.
const FIT_FACTOR: u32 = 2;

/// What a daemon does with requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// It takes them.
    Serving,
    /// It takes them, is not ready, and closes each connection with its answer.
    Noticing,
    /// It closes its connections, takes only requests that surely end in time, and finishes those
    /// that it has.
    Finishing,
    /// The grace is over.
    Over,
}

/// The state of a daemon's stop.
#[derive(Debug, Clone, Copy)]
pub struct Stop {
    asked: Option<Moment>,
    grace: Duration,
    closed: bool,
}

impl Stop {
    /// Creates the state of a daemon that is not stopping.
    pub const fn new(grace: Duration) -> Self {
        Self { asked: None, grace, closed: false }
    }

    /// Begins the stop; a second call changes nothing.
    pub fn ask(&mut self, now: Moment) {
        self.asked.get_or_insert(now);
    }

    /// Ends the stop before the grace is over: from now on the daemon takes nothing, so that no
    /// request begins while the process ends.
    pub const fn close(&mut self) {
        self.closed = true;
    }

    /// Tells whether a request that is expected to last so long may still begin.
    pub fn takes(&self, expected: Duration, now: Moment) -> bool {
        let end = self.asked.map(|asked| asked + self.grace - EXIT_RESERVE);
        match self.phase(now) {
            Phase::Serving | Phase::Noticing => true,
            Phase::Finishing => end.is_some_and(|end| now + expected * FIT_FACTOR < end),
            Phase::Over => false,
        }
    }

    /// Returns how long it takes until the daemon has stopped and started again, at most.
    pub fn back_after(&self, now: Moment) -> Duration {
        self.asked.map_or(Duration::ZERO, |asked| (asked + self.grace + RESTART).since(now))
    }

    /// Returns the phase.
    pub fn phase(&self, now: Moment) -> Phase {
        let Some(asked) = self.asked else {
            return Phase::Serving;
        };
        if self.closed {
            return Phase::Over;
        }
        let since = now.since(asked);
        if since < NOTICE {
            return Phase::Noticing;
        }
        if since + EXIT_RESERVE < self.grace { Phase::Finishing } else { Phase::Over }
    }
}
