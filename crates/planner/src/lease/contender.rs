use std::time::Duration;

use kumquattiller_base::time::Moment;

use crate::Fencing;
use crate::lease::Action;
use crate::lease::Condition;
use crate::lease::Record;

/// Times of a lease; the same in every daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// How long a write holds the lease.
    pub duration: Duration,
    /// Pause between renewals.
    pub renew: Duration,
    /// Pause between reads of a daemon that does not hold it.
    pub read: Duration,
    /// Time taken off the holder's end for clocks that run at unlike rates.
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

/// A daemon that holds the lease or would like to.
#[derive(Debug)]
pub struct Contender {
    name: String,
    timing: Timing,
    seen: Option<Seen>,
    held: Option<Held>,
    pending: Option<Pending>,
    next: Moment,
}

#[derive(Debug)]
struct Seen {
    version: u64,
    record: Record,
    since: Moment,
}

#[derive(Debug)]
struct Held {
    version: u64,
    record: Record,
    until: Moment,
}

#[derive(Debug)]
enum Pending {
    Read,
    Write {
        record: Record,
        begun: Moment,
    },
    /// A write whose answer was lost, to be read back.
    Unknown {
        record: Record,
        begun: Moment,
    },
}

impl Contender {
    /// Makes a contender; `name` is the daemon's id and incarnation.
    pub const fn new(name: String, timing: Timing) -> Self {
        Self { name, timing, seen: None, held: None, pending: None, next: Moment::ZERO }
    }

    /// Returns the fencing number while the lease is held.
    pub fn holds(&self, now: Moment) -> Option<Fencing> {
        let held = self.held.as_ref().filter(|held| now < held.until);
        held.map(|held| held.record.fencing)
    }

    /// Returns the next call of the store, if one is due.
    pub fn tick(&mut self, now: Moment) -> Option<Action> {
        if self.held.as_ref().is_some_and(|held| now >= held.until) {
            self.held = None;
        }
        if now < self.next || matches!(self.pending, Some(Pending::Read | Pending::Write { .. })) {
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
                Some(self.write(record, condition, now))
            }
            None => {
                self.pending = Some(Pending::Read);
                Some(Action::Read)
            }
        }
    }

    /// Takes the answer to a read; returns the write that follows from it, if any.
    pub fn read(&mut self, found: Option<(u64, Record)>, now: Moment) -> Option<Action> {
        self.next = now + self.timing.read;
        let pending = self.pending.take();
        if let (Some(Pending::Unknown { record, begun }), Some((version, found))) =
            (&pending, &found)
            && record == found
        {
            self.hold(*version, record.clone(), *begun);
            return None;
        }
        self.held = None;
        let Some((version, record)) = found else {
            let record = self.acquisition(Fencing::default());
            return Some(self.write(record, Condition::Absent, now));
        };
        let known = self.seen.as_ref().filter(|seen| seen.version == version);
        let since = known.map_or(now, |seen| seen.since);
        let fencing = record.fencing;
        self.seen = Some(Seen { version, record, since });
        if now.since(since) < self.timing.duration {
            return None;
        }
        let record = self.acquisition(fencing);
        Some(self.write(record, Condition::Version(version), now))
    }

    /// Notes that the last write took effect.
    pub fn written(&mut self, version: u64, now: Moment) {
        if let Some(Pending::Write { record, begun }) = self.pending.take() {
            self.hold(version, record, begun);
            self.next = now + self.timing.renew;
        }
    }

    /// Notes that the last write failed its condition.
    pub fn conflict(&mut self, now: Moment) {
        self.pending = None;
        self.held = None;
        self.next = now;
    }

    /// Notes that the last call brought no answer; `unknown` when a write may have taken effect.
    pub fn failed(&mut self, unknown: bool, now: Moment) {
        self.next = now + self.timing.renew / 3;
        self.pending = match self.pending.take() {
            Some(Pending::Write { record, begun }) if unknown => {
                Some(Pending::Unknown { record, begun })
            }
            Some(Pending::Unknown { record, begun }) => Some(Pending::Unknown { record, begun }),
            _ => None,
        };
    }

    /// Returns the holder as last seen in the store.
    pub fn holder(&self) -> Option<&str> {
        let held = self.held.as_ref().map(|held| held.record.holder.as_str());
        held.or_else(|| self.seen.as_ref().map(|seen| seen.record.holder.as_str()))
    }

    fn hold(&mut self, version: u64, record: Record, begun: Moment) {
        let until = begun + self.timing.duration - self.timing.margin;
        self.held = Some(Held { version, record, until });
    }

    fn acquisition(&self, last: Fencing) -> Record {
        Record { holder: self.name.clone(), fencing: last.next(), renewals: 0 }
    }

    fn write(&mut self, record: Record, condition: Condition, now: Moment) -> Action {
        self.pending = Some(Pending::Write { record: record.clone(), begun: now });
        Action::Write { record, condition }
    }
}
