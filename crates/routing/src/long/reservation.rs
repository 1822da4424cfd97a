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

/// Time limit of one try.
const TRY_LIMIT: Duration = Duration::from_secs(20);

/// Longest pause before the second try; each further one may be twice as long.
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause between tries.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// When trying again makes sense after all tries failed.
const RETRY_AFTER: Duration = Duration::from_secs(20);

/// What happened to a reservation.
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
    /// The request ended or its caller went away.
    Finished,
}

/// What the entry daemon does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Ask a runner for its part.
    Reserve(Part),
    /// Give a part back, granted or not yet.
    Release(Id),
    /// All parts are granted.
    Ready(Vec<Part>),
    /// Send [`Event::Tick`] at this moment.
    Wake(Moment),
    /// The request is not run; everything is released.
    Fail {
        /// The error kind for the caller.
        kind: Kind,
        /// When trying again makes sense.
        retry_after: Duration,
    },
}

/// Where a reservation stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Parts before the number are granted, the part of the number is asked for.
    Asking { part: usize, until: Moment },
    /// Everything is released until the next try.
    Paused { until: Moment },
    /// All parts are granted.
    Held,
    /// Everything is released for good.
    Over,
}

/// Memory on a set of engines, all or nothing.
#[derive(Debug, Clone)]
pub struct Reservation {
    footprint: Tokens,
    long_engines: usize,
    start_by: Moment,
    parts: Vec<Part>,
    lost: Vec<Id>,
    tries: u32,
    state: State,
}

impl Reservation {
    /// Begins a reservation that gives up at `start_by`.
    ///
    /// # Errors
    ///
    /// Fails when no reachable set of engines holds the footprint.
    pub fn begin(
        table: &Table,
        footprint: Tokens,
        long_engines: usize,
        start_by: Moment,
        now: Moment,
    ) -> Result<(Self, Vec<Action>), crate::long::TooLarge> {
        let parts = plan(table, footprint, &[], long_engines)?;
        let state = State::Over;
        let mut new =
            Self { footprint, long_engines, start_by, parts, lost: Vec::new(), tries: 0, state };
        let actions = new.ask_first(now);
        Ok((new, actions))
    }

    /// Takes an event in.
    pub fn handle<R: Rng>(
        &mut self,
        event: Event,
        table: &Table,
        now: Moment,
        rng: &mut R,
    ) -> Vec<Action> {
        match event {
            Event::Granted(id) => self.granted(&id),
            Event::Refused(id) if self.is_asking(&id) => self.pause(now, rng),
            Event::Lost(id) if self.parts.iter().any(|p| p.runner == id) => self.lost(id, now, rng),
            Event::Tick => self.tick(table, now, rng),
            Event::Finished => self.finish(),
            Event::Refused(_) | Event::Lost(_) => Vec::new(),
        }
    }

    /// Tells whether all parts are granted.
    pub fn is_held(&self) -> bool {
        self.state == State::Held
    }

    /// Tells whether everything is released for good.
    pub fn is_over(&self) -> bool {
        self.state == State::Over
    }

    /// Returns the parts of the present try.
    pub fn parts(&self) -> &[Part] {
        &self.parts
    }

    fn ask_first(&mut self, now: Moment) -> Vec<Action> {
        self.tries += 1;
        let until = (now + TRY_LIMIT).min(self.start_by);
        self.state = State::Asking { part: 0, until };
        vec![Action::Reserve(self.parts[0].clone()), Action::Wake(until)]
    }

    fn is_asking(&self, id: &Id) -> bool {
        matches!(self.state, State::Asking { part, .. } if self.parts[part].runner == *id)
    }

    fn granted(&mut self, id: &Id) -> Vec<Action> {
        let State::Asking { part, until } = self.state else {
            return self.give_back_stray(id);
        };
        if self.parts[part].runner != *id {
            return self.give_back_stray(id);
        }
        let next = part + 1;
        if next == self.parts.len() {
            self.state = State::Held;
            return vec![Action::Ready(self.parts.clone())];
        }
        self.state = State::Asking { part: next, until };
        vec![Action::Reserve(self.parts[next].clone())]
    }

    /// Releases a grant that came after its try was over.
    fn give_back_stray(&self, id: &Id) -> Vec<Action> {
        if self.holds(id) {
            return Vec::new();
        }
        vec![Action::Release(id.clone())]
    }

    /// Tells whether a runner's part is granted and wanted.
    fn holds(&self, id: &Id) -> bool {
        let granted = match self.state {
            State::Asking { part, .. } => &self.parts[..part],
            State::Held => &self.parts[..],
            State::Paused { .. } | State::Over => &[],
        };
        granted.iter().any(|p| p.runner == *id)
    }

    fn lost<R: Rng>(&mut self, id: Id, now: Moment, rng: &mut R) -> Vec<Action> {
        self.lost.push(id);
        match self.state {
            State::Asking { .. } | State::Held => self.pause(now, rng),
            State::Paused { .. } | State::Over => Vec::new(),
        }
    }

    fn tick<R: Rng>(&mut self, table: &Table, now: Moment, rng: &mut R) -> Vec<Action> {
        match self.state {
            State::Asking { until, .. } if now >= until => self.pause(now, rng),
            State::Paused { until } if now >= until => self.try_again(table, now),
            State::Asking { until, .. } | State::Paused { until } => vec![Action::Wake(until)],
            State::Held | State::Over => Vec::new(),
        }
    }

    fn try_again(&mut self, table: &Table, now: Moment) -> Vec<Action> {
        if now >= self.start_by {
            return self.fail(Kind::Overloaded);
        }
        match plan(table, self.footprint, &self.lost, self.long_engines) {
            Ok(parts) => {
                self.parts = parts;
                self.ask_first(now)
            }
            Err(_) => self.fail(Kind::NoRunner),
        }
    }

    /// Releases everything and waits before the next try.
    fn pause<R: Rng>(&mut self, now: Moment, rng: &mut R) -> Vec<Action> {
        let mut actions = self.release();
        if now >= self.start_by {
            actions.extend(self.fail(Kind::Overloaded));
            return actions;
        }
        let ceiling = FIRST_PAUSE * (1_u32 << self.tries.saturating_sub(1).min(10));
        let pause = ceiling.min(MAX_PAUSE).mul_f64(rng.random());
        let until = (now + pause).min(self.start_by);
        self.state = State::Paused { until };
        actions.push(Action::Wake(until));
        actions
    }

    fn finish(&mut self) -> Vec<Action> {
        let actions = self.release();
        self.state = State::Over;
        actions
    }

    fn fail(&mut self, kind: Kind) -> Vec<Action> {
        self.state = State::Over;
        vec![Action::Fail { kind, retry_after: RETRY_AFTER }]
    }

    /// Gives back what is granted or asked for, last first, but for runners that are lost.
    fn release(&self) -> Vec<Action> {
        let count = match self.state {
            State::Asking { part, .. } => part + 1,
            State::Held => self.parts.len(),
            State::Paused { .. } | State::Over => 0,
        };
        let taken = self.parts[..count].iter().rev();
        let alive = taken.filter(|p| !self.lost.contains(&p.runner));
        alive.map(|p| Action::Release(p.runner.clone())).collect()
    }
}
