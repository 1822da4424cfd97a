use std::time::Duration;

use kumquattiller_base::time::Moment;

use crate::Fencing;
use crate::lease::Action;
use crate::lease::Condition;
use crate::lease::Record;

/// Timing of a lease; all daemons have to use the same values.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Time for which a successful write holds the lease.
    pub duration: Duration,
    /// Interval between renewals by the holder.
    pub renew: Duration,
    /// Interval between reads by a daemon that does not hold the lease.
    pub read: Duration,
    /// Time by which the holder gives up the lease early, as clocks run at different rates.
    pub margin: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(15),
            renew: Duration::from_secs(4),
            read: Duration::from_secs(10),
            margin: Duration::from_millis(500),
        }
    }
}

/// Acquires and renews the lease on behalf of one daemon.
///
/// The caller performs each returned [`Action`] on the store and reports its result.
#[derive(Debug)]
pub struct Candidate {
    name: String,
    timing: Timing,
    observed: Option<Observed>,
    held: Option<Held>,
    pending: Option<Pending>,
    next_action_at: Moment,
}

/// The record in the store as last read.
#[derive(Debug)]
struct Observed {
    version: u64,
    record: Record,
    /// When this version was first read.
    first_read_at: Moment,
}

/// The lease held by this daemon.
#[derive(Debug)]
struct Held {
    version: u64,
    record: Record,
    until: Moment,
}

/// A store operation without a known result.
#[derive(Debug)]
enum Pending {
    Read,
    Write {
        record: Record,
        started_at: Moment,
    },
    /// A write whose result is unknown and has to be read back.
    Unknown {
        record: Record,
        started_at: Moment,
    },
}

impl Candidate {
    /// Creates a candidate; `name` identifies the daemon by its ID and incarnation.
    pub const fn new(name: String, timing: Timing) -> Self {
        Self {
            name,
            timing,
            observed: None,
            held: None,
            pending: None,
            next_action_at: Moment::ZERO,
        }
    }

    /// Returns the fencing token if this daemon holds the lease at `now`.
    pub fn held_fencing(&self, now: Moment) -> Option<Fencing> {
        let held = self.held.as_ref().filter(|held| now < held.until);
        held.map(|held| held.record.fencing)
    }

    /// Returns the next store operation, if one is due.
    pub fn next_action(&mut self, now: Moment) -> Option<Action> {
        if self.held.as_ref().is_some_and(|held| now >= held.until) {
            self.held = None;
        }
        if now < self.next_action_at
            || matches!(self.pending, Some(Pending::Read | Pending::Write { .. }))
        {
            return None;
        }
        if matches!(self.pending, Some(Pending::Unknown { .. })) {
            return Some(Action::Read);
        }
        match &self.held {
            Some(held) => {
                let renewals = held.record.renewals + 1;
                let record = Record { renewals, ..held.record.clone() };
                let condition = Condition::Version(held.version);
                Some(self.start_write(record, condition, now))
            }
            None => {
                self.pending = Some(Pending::Read);
                Some(Action::Read)
            }
        }
    }

    /// Processes the result of a read; returns the write to perform next, if any.
    pub fn handle_read(&mut self, found: Option<(u64, Record)>, now: Moment) -> Option<Action> {
        self.next_action_at = now + self.timing.read;
        let pending = self.pending.take();
        if let (Some(Pending::Unknown { record, started_at }), Some((version, found))) =
            (&pending, &found)
            && record == found
        {
            self.set_held(*version, record.clone(), *started_at);
            return None;
        }
        self.held = None;
        let Some((version, record)) = found else {
            let record = self.acquisition_record(Fencing::default());
            return Some(self.start_write(record, Condition::Absent, now));
        };
        let unchanged = self.observed.as_ref().filter(|observed| observed.version == version);
        let first_read_at = unchanged.map_or(now, |observed| observed.first_read_at);
        let fencing = record.fencing;
        self.observed = Some(Observed { version, record, first_read_at });
        if now.since(first_read_at) < self.timing.duration {
            return None;
        }
        let record = self.acquisition_record(fencing);
        Some(self.start_write(record, Condition::Version(version), now))
    }

    /// Records that the last write succeeded and created `version`.
    pub fn handle_write(&mut self, version: u64, now: Moment) {
        if let Some(Pending::Write { record, started_at }) = self.pending.take() {
            self.set_held(version, record, started_at);
            self.next_action_at = now + self.timing.renew;
        }
    }

    /// Records that the precondition of the last write did not hold.
    pub fn handle_conflict(&mut self, now: Moment) {
        self.pending = None;
        self.held = None;
        self.next_action_at = now;
    }

    /// Records that the last operation failed; `unknown` means that a write may have taken effect.
    pub fn handle_failure(&mut self, unknown: bool, now: Moment) {
        self.next_action_at = now + self.timing.renew / 3;
        self.pending = match self.pending.take() {
            Some(Pending::Write { record, started_at }) if unknown => {
                Some(Pending::Unknown { record, started_at })
            }
            Some(Pending::Unknown { record, started_at }) => {
                Some(Pending::Unknown { record, started_at })
            }
            _ => None,
        };
    }

    /// Returns the last known holder of the lease.
    pub fn holder(&self) -> Option<&str> {
        let held = self.held.as_ref().map(|held| held.record.holder.as_str());
        held.or_else(|| self.observed.as_ref().map(|observed| observed.record.holder.as_str()))
    }

    fn set_held(&mut self, version: u64, record: Record, started_at: Moment) {
        let until = started_at + self.timing.duration - self.timing.margin;
        self.held = Some(Held { version, record, until });
    }

    fn acquisition_record(&self, last: Fencing) -> Record {
        Record { holder: self.name.clone(), fencing: last.next(), renewals: 0 }
    }

    fn start_write(&mut self, record: Record, condition: Condition, now: Moment) -> Action {
        self.pending = Some(Pending::Write { record: record.clone(), started_at: now });
        Action::Write { record, condition }
    }
}
