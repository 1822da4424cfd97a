use std::time::Duration;

use kumquattiller_base::error::Kind;
use kumquattiller_base::runner::Id;
use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;
use rand::Rng;
use rand::RngExt;

use crate::long::Part;
use crate::long::plan;
use crate::table::Table;

/// Time limit of one attempt to reserve all parts.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(20);

/// Upper bound of the random backoff before the second attempt; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);

/// Upper bound of the random backoff before any attempt.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Retry delay for the caller after all attempts failed.
const RETRY_AFTER: Duration = Duration::from_secs(20);

/// Input of a reservation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A runner granted its part.
    Granted(Id),
    /// A runner refused its part.
    Refused(Id),
    /// A runner died or its link was lost.
    Lost(Id),
    /// Time has passed.
    Tick,
    /// The request ended or its caller disconnected.
    Finished,
}

/// Action for the entry daemon to take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Request a part from its runner.
    Reserve(Part),
    /// Release the part of a runner, whether granted or still requested.
    Release(Id),
    /// All parts are granted.
    Ready(Vec<Part>),
    /// Send [`Event::Tick`] at this time.
    Wake(Moment),
    /// Fail the request without running it; everything is released.
    Fail {
        /// The error kind for the caller.
        kind: Kind,
        /// Retry delay for the caller.
        retry_after: Duration,
    },
}

/// State of a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// The parts before `index` are granted, and the part at `index` is requested.
    Requesting { index: usize, until: Moment },
    /// Everything is released until the next attempt.
    BackingOff { until: Moment },
    /// All parts are granted.
    Granted,
    /// Everything is released, and no further attempt follows.
    Finished,
}

/// Reserves memory on a set of engines, all or nothing.
#[derive(Debug, Clone)]
pub struct Reservation {
    footprint: Tokens,
    long_engines: usize,
    start_by: Moment,
    parts: Vec<Part>,
    lost: Vec<Id>,
    attempts: u32,
    state: State,
}

impl Reservation {
    /// Creates a reservation that gives up at `start_by`, and returns it with its first actions.
    ///
    /// # Errors
    ///
    /// Fails when the footprint does not fit into the reachable engines of any zone.
    pub fn begin(
        table: &Table,
        footprint: Tokens,
        long_engines: usize,
        start_by: Moment,
        now: Moment,
    ) -> Result<(Self, Vec<Action>), crate::long::TooLarge> {
        let parts = plan(table, footprint, &[], long_engines)?;
        let state = State::Finished;
        let mut this =
            Self { footprint, long_engines, start_by, parts, lost: Vec::new(), attempts: 0, state };
        let actions = this.start_attempt(now);
        Ok((this, actions))
    }

    /// Processes an event and returns the actions that follow from it.
    pub fn handle<R: Rng>(
        &mut self,
        event: Event,
        table: &Table,
        now: Moment,
        rng: &mut R,
    ) -> Vec<Action> {
        match event {
            Event::Granted(id) => self.granted(&id),
            Event::Refused(id) if self.is_requesting(&id) => self.back_off(now, rng),
            Event::Lost(id) if self.parts.iter().any(|p| p.runner == id) => {
                self.runner_lost(id, now, rng)
            }
            Event::Tick => self.tick(table, now, rng),
            Event::Finished => self.finish(),
            Event::Refused(_) | Event::Lost(_) => Vec::new(),
        }
    }

    /// Returns whether all parts are granted.
    pub fn is_granted(&self) -> bool {
        self.state == State::Granted
    }

    /// Returns whether everything is released and no further attempt follows.
    pub fn is_finished(&self) -> bool {
        self.state == State::Finished
    }

    /// Returns the parts of the current attempt.
    pub fn parts(&self) -> &[Part] {
        &self.parts
    }

    fn start_attempt(&mut self, now: Moment) -> Vec<Action> {
        self.attempts += 1;
        let until = (now + ATTEMPT_TIMEOUT).min(self.start_by);
        self.state = State::Requesting { index: 0, until };
        vec![Action::Reserve(self.parts[0].clone()), Action::Wake(until)]
    }

    fn is_requesting(&self, id: &Id) -> bool {
        matches!(self.state, State::Requesting { index, .. } if self.parts[index].runner == *id)
    }

    fn granted(&mut self, id: &Id) -> Vec<Action> {
        let State::Requesting { index, until } = self.state else {
            return self.release_stale_grant(id);
        };
        if self.parts[index].runner != *id {
            return self.release_stale_grant(id);
        }
        let next = index + 1;
        if next == self.parts.len() {
            self.state = State::Granted;
            return vec![Action::Ready(self.parts.clone())];
        }
        self.state = State::Requesting { index: next, until };
        vec![Action::Reserve(self.parts[next].clone())]
    }

    /// Releases a grant that arrived after its attempt had ended.
    fn release_stale_grant(&self, id: &Id) -> Vec<Action> {
        if self.has_granted(id) {
            return Vec::new();
        }
        vec![Action::Release(id.clone())]
    }

    /// Returns whether a runner's part is granted in the current attempt.
    fn has_granted(&self, id: &Id) -> bool {
        let granted = match self.state {
            State::Requesting { index, .. } => &self.parts[..index],
            State::Granted => &self.parts[..],
            State::BackingOff { .. } | State::Finished => &[],
        };
        granted.iter().any(|p| p.runner == *id)
    }

    fn runner_lost<R: Rng>(&mut self, id: Id, now: Moment, rng: &mut R) -> Vec<Action> {
        self.lost.push(id);
        match self.state {
            State::Requesting { .. } | State::Granted => self.back_off(now, rng),
            State::BackingOff { .. } | State::Finished => Vec::new(),
        }
    }

    fn tick<R: Rng>(&mut self, table: &Table, now: Moment, rng: &mut R) -> Vec<Action> {
        match self.state {
            State::Requesting { until, .. } if now >= until => self.back_off(now, rng),
            State::BackingOff { until } if now >= until => self.retry(table, now),
            State::Requesting { until, .. } | State::BackingOff { until } => {
                vec![Action::Wake(until)]
            }
            State::Granted | State::Finished => Vec::new(),
        }
    }

    fn retry(&mut self, table: &Table, now: Moment) -> Vec<Action> {
        if now >= self.start_by {
            return self.fail(Kind::Overloaded);
        }
        match plan(table, self.footprint, &self.lost, self.long_engines) {
            Ok(parts) => {
                self.parts = parts;
                self.start_attempt(now)
            }
            Err(_) => self.fail(Kind::NoRunner),
        }
    }

    /// Releases everything and waits before the next attempt.
    fn back_off<R: Rng>(&mut self, now: Moment, rng: &mut R) -> Vec<Action> {
        let mut actions = self.release();
        if now >= self.start_by {
            actions.extend(self.fail(Kind::Overloaded));
            return actions;
        }
        let ceiling = INITIAL_BACKOFF * (1_u32 << self.attempts.saturating_sub(1).min(10));
        let backoff = ceiling.min(MAX_BACKOFF).mul_f64(rng.random());
        let until = (now + backoff).min(self.start_by);
        self.state = State::BackingOff { until };
        actions.push(Action::Wake(until));
        actions
    }

    fn finish(&mut self) -> Vec<Action> {
        let actions = self.release();
        self.state = State::Finished;
        actions
    }

    fn fail(&mut self, kind: Kind) -> Vec<Action> {
        self.state = State::Finished;
        vec![Action::Fail { kind, retry_after: RETRY_AFTER }]
    }

    /// Releases the granted and requested parts, last first, except on lost runners.
    fn release(&self) -> Vec<Action> {
        let count = match self.state {
            State::Requesting { index, .. } => index + 1,
            State::Granted => self.parts.len(),
            State::BackingOff { .. } | State::Finished => 0,
        };
        let requested = self.parts[..count].iter().rev();
        let reachable = requested.filter(|p| !self.lost.contains(&p.runner));
        reachable.map(|p| Action::Release(p.runner.clone())).collect()
    }
}
