use std::collections::BTreeMap;
use std::time::Duration;

use kumquattiller_base::request::Key;

use crate::Attempt;
use crate::Outcome;
use crate::Record;
use crate::Timestamp;
use crate::shard::Verdict;

/// Largest shard, in bytes of its JSON form; the store refuses values over 1,000,000 bytes.
pub const MAX_BYTES: usize = 950_000;

/// How long a record is kept after its request's deadline.
///
/// Callers are told to repeat a key for 23 hours at most. The hour between allows for the clocks
/// of two VMs.
pub const RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// The records of the keys that share an object of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Shard {
    records: BTreeMap<Key, Record>,
    bytes: usize,
}

impl Shard {
    /// Adds a record for `key`, or says why not.
    pub fn claim(&mut self, key: &Key, record: &Record, now: Timestamp) -> Verdict {
        if let Some(standing) = self.records.get(key) {
            return verdict(standing, record, now);
        }
        if self.bytes + record.cost(key) > MAX_BYTES {
            return Verdict::Full;
        }
        self.insert(key.clone(), record.clone());
        Verdict::Added
    }

    /// Records how the request of `attempt` ended; returns whether anything changed.
    ///
    /// When the shard has no room for the body of a reply, the outcome is kept without it.
    pub fn finish(&mut self, key: &Key, attempt: Attempt, outcome: Outcome) -> bool {
        let Some(mut record) = self.take_running(key, attempt) else {
            return false;
        };
        record.outcome = Some(outcome);
        if self.bytes + record.cost(key) > MAX_BYTES {
            record.outcome = record.outcome.map(without_body);
        }
        self.insert(key.clone(), record);
        true
    }

    /// Removes the record of an attempt that started nothing; returns whether anything changed.
    pub fn release(&mut self, key: &Key, attempt: Attempt) -> bool {
        self.take_running(key, attempt).is_some()
    }

    /// Removes the records whose retention is over; returns whether anything changed.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        let is_over = |record: &Record| now.since(record.until) > RETENTION;
        let over = self.records.extract_if(.., |_, record| is_over(record));
        let freed: Vec<usize> = over.map(|(key, record)| record.cost(&key)).collect();
        self.bytes -= freed.iter().sum::<usize>();
        !freed.is_empty()
    }

    /// Returns the record of a key.
    pub fn get(&self, key: &Key) -> Option<&Record> {
        self.records.get(key)
    }

    /// Returns the records in the order of their keys.
    pub fn records(&self) -> impl Iterator<Item = (&Key, &Record)> {
        self.records.iter()
    }

    /// Returns an upper bound of the shard's size in JSON, in bytes.
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    pub(super) fn insert(&mut self, key: Key, record: Record) {
        self.bytes += record.cost(&key);
        self.records.insert(key, record);
    }

    /// Takes out the record of `attempt` when it has no outcome.
    fn take_running(&mut self, key: &Key, attempt: Attempt) -> Option<Record> {
        let standing = self.records.get(key)?;
        if standing.attempt != attempt || standing.outcome.is_some() {
            return None;
        }
        let record = self.records.remove(key)?;
        self.bytes -= record.cost(key);
        Some(record)
    }
}

/// Returns what the `standing` record says to the attempt of `wanted`.
fn verdict(standing: &Record, wanted: &Record, now: Timestamp) -> Verdict {
    if standing.attempt == wanted.attempt {
        return Verdict::Own;
    }
    if standing.fingerprint != wanted.fingerprint {
        return Verdict::Reused;
    }
    match &standing.outcome {
        Some(outcome) => Verdict::Finished(outcome.clone()),
        None if now > standing.until => Verdict::Unknown,
        None => Verdict::Held { until: standing.until },
    }
}

fn without_body(outcome: Outcome) -> Outcome {
    match outcome {
        Outcome::Done(reply) => Outcome::Done(reply.without_body()),
        other => other,
    }
}
