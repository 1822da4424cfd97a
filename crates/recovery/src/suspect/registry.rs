use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use kumquattiller_base::fingerprint::Fingerprint;
use kumquattiller_base::time::Moment;

use crate::suspect::Id;
use crate::suspect::Involved;

/// How long a record is remembered after its last death.
pub const RETENTION: Duration = Duration::from_secs(600);
/// Most records that are remembered; the one that would be forgotten first gives way.
const MAX_RECORDS: usize = 10_000;

/// What is known of one request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Record {
    /// Deaths of engines that were running it.
    pub deaths: BTreeSet<Id>,
    /// Those of them that confirm it, for it ran as a suspect.
    pub confirmations: BTreeSet<Id>,
    /// Deaths that it was cleared of.
    pub cleared: BTreeSet<Id>,
    /// When the record is forgotten.
    pub until: Moment,
}

/// How a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Standing {
    /// Nothing is held against it.
    Clear,
    /// It may run where no other suspect runs.
    Suspect,
    /// It is refused.
    Refused {
        /// How long.
        left: Duration,
    },
}

/// The records that an entry daemon knows.
#[derive(Debug, Default)]
pub struct Registry {
    records: BTreeMap<Fingerprint, Record>,
}

impl Record {
    /// Tells whether a death of which it was not cleared makes it a suspect.
    pub fn is_suspect(&self) -> bool {
        self.deaths.difference(&self.cleared).next().is_some()
    }

    /// Tells whether a death of which it was not cleared confirms it.
    pub fn is_confirmed(&self) -> bool {
        self.confirmations.difference(&self.cleared).next().is_some()
    }

    /// Takes in another report; returns whether it said anything new.
    fn merge(&mut self, other: &Self) -> bool {
        let before = self.sizes();
        self.deaths.extend(&other.deaths);
        self.confirmations.extend(&other.confirmations);
        self.cleared.extend(&other.cleared);
        self.until = self.until.max(other.until);
        before != self.sizes()
    }

    fn sizes(&self) -> [usize; 3] {
        [self.deaths.len(), self.confirmations.len(), self.cleared.len()]
    }
}

impl Registry {
    /// Records that an engine died while it ran a request; returns whether that is new.
    pub fn died(&mut self, involved: Involved, death: Id, now: Moment) -> bool {
        let deaths = BTreeSet::from([death]);
        let confirmations = if involved.suspect { deaths.clone() } else { BTreeSet::new() };
        let until = now + RETENTION;
        let record = Record { deaths, confirmations, cleared: BTreeSet::new(), until };
        self.merge(involved.fingerprint, &record, now)
    }

    /// Acquits a request that ended with its whole answer; returns whether that is new.
    pub fn clear(&mut self, fingerprint: Fingerprint) -> bool {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return false;
        };
        let before = record.cleared.len();
        record.cleared.extend(&record.deaths);
        before != record.cleared.len()
    }

    /// Takes in a record from elsewhere; returns whether it said anything new.
    pub fn merge(&mut self, fingerprint: Fingerprint, record: &Record, now: Moment) -> bool {
        self.forget(now);
        if record.until <= now {
            return false;
        }
        let new = self.records.entry(fingerprint).or_default().merge(record);
        if self.records.len() > MAX_RECORDS {
            let oldest =
                self.records.iter().min_by_key(|(_, record)| record.until).map(|(key, _)| *key);
            oldest.map(|key| self.records.remove(&key));
        }
        new
    }

    /// Returns how a request stands.
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

    /// Returns the records in the order of their fingerprints.
    pub fn records(&self) -> impl Iterator<Item = (&Fingerprint, &Record)> {
        self.records.iter()
    }

    fn forget(&mut self, now: Moment) {
        self.records.retain(|_, record| record.until > now);
    }
}
