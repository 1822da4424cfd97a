use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use kumquattiller_base::fingerprint::Fingerprint;
use kumquattiller_base::time::Moment;

use crate::suspect::Involved;
use crate::suspect::death;

/// Time for which a record is kept after its last reported death.
pub const RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of records; beyond it the record that expires first is removed.
const MAX_RECORDS: usize = 10_000;

/// The engine deaths in which one request was involved.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Record {
    /// Deaths of engines on which the request was running.
    pub deaths: BTreeSet<death::Id>,
    /// The deaths among them that confirm the request as their cause, because it ran as the only
    /// suspect on the engine.
    pub confirmations: BTreeSet<death::Id>,
    /// Deaths of which the request was cleared by a complete response.
    pub cleared: BTreeSet<death::Id>,
    /// When the record expires.
    pub until: Moment,
}

/// Whether and how a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Standing {
    /// No uncleared death is recorded; the request runs normally.
    Clear,
    /// The request may run on an engine that runs no other suspect.
    Suspect,
    /// The request is refused.
    Refused {
        /// Time until its record expires.
        left: Duration,
    },
}

/// The suspect records known to an entry daemon.
#[derive(Debug, Default)]
pub struct Registry {
    records: BTreeMap<Fingerprint, Record>,
}

impl Record {
    /// Returns whether the request is involved in a death of which it was not cleared.
    pub fn is_suspect(&self) -> bool {
        self.deaths.difference(&self.cleared).next().is_some()
    }

    /// Returns whether a death of which the request was not cleared confirms it as the cause.
    pub fn is_confirmed(&self) -> bool {
        self.confirmations.difference(&self.cleared).next().is_some()
    }

    /// Merges another record of the same request; returns whether it added a death or clearance.
    fn merge(&mut self, other: &Self) -> bool {
        let before = self.counts();
        self.deaths.extend(&other.deaths);
        self.confirmations.extend(&other.confirmations);
        self.cleared.extend(&other.cleared);
        self.until = self.until.max(other.until);
        before != self.counts()
    }

    fn counts(&self) -> [usize; 3] {
        [self.deaths.len(), self.confirmations.len(), self.cleared.len()]
    }
}

impl Registry {
    /// Records that an engine died while it ran a request; returns whether this changed the record.
    pub fn record_death(&mut self, involved: Involved, death: death::Id, now: Moment) -> bool {
        let deaths = BTreeSet::from([death]);
        let confirmations = if involved.suspect { deaths.clone() } else { BTreeSet::new() };
        let until = now + RETENTION;
        let record = Record { deaths, confirmations, cleared: BTreeSet::new(), until };
        self.merge(involved.fingerprint, &record, now)
    }

    /// Clears a request, which received its complete response, of the deaths recorded so far.
    ///
    /// Returns whether this changed its record.
    pub fn clear(&mut self, fingerprint: Fingerprint) -> bool {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return false;
        };
        let before = record.cleared.len();
        record.cleared.extend(&record.deaths);
        before != record.cleared.len()
    }

    /// Merges a record from another source; returns whether it added a death or clearance.
    pub fn merge(&mut self, fingerprint: Fingerprint, record: &Record, now: Moment) -> bool {
        self.remove_expired(now);
        if record.until <= now {
            return false;
        }
        let changed = self.records.entry(fingerprint).or_default().merge(record);
        if self.records.len() > MAX_RECORDS {
            let first_to_expire =
                self.records.iter().min_by_key(|(_, record)| record.until).map(|(key, _)| *key);
            first_to_expire.map(|key| self.records.remove(&key));
        }
        changed
    }

    /// Returns whether and how a request may run at `now`.
    pub fn standing(&self, fingerprint: Fingerprint, now: Moment) -> Standing {
        match self.records.get(&fingerprint) {
            Some(record) if record.until <= now => Standing::Clear,
            Some(record) if record.is_confirmed() => {
                Standing::Refused { left: record.until.since(now) }
            }
            Some(record) if record.is_suspect() => Standing::Suspect,
            _ => Standing::Clear,
        }
    }

    /// Returns the records, ordered by fingerprint.
    pub fn records(&self) -> impl Iterator<Item = (&Fingerprint, &Record)> {
        self.records.iter()
    }

    /// Removes expired records.
    fn remove_expired(&mut self, now: Moment) {
        self.records.retain(|_, record| record.until > now);
    }
}
