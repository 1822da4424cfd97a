use std::collections::BTreeMap;
use std::time::Duration;

use kumquattiller_base::request::Key;

use crate::Attempt;
use crate::Outcome;
use crate::Record;
use crate::Timestamp;
use crate::shard::Verdict;

/// Maximum size of a shard in JSON, in bytes; the store refuses values over 1,000,000 bytes.
pub const MAX_BYTES: usize = 950_000;

/// How long a record is kept after its request's deadline.
///
/// Callers are told to repeat a key for 23 hours at most. The remaining hour allows for the clock
/// difference between two VMs.
pub const RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// The records of the keys that share one object in the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Shard {
    records: BTreeMap<Key, Record>,
    json_bytes_bound: usize,
}

impl Shard {
    /// Adds a record for `key` if it has none and the shard has room.
    pub fn claim(&mut self, key: &Key, record: &Record, now: Timestamp) -> Verdict {
        if let Some(existing) = self.records.get(key) {
            return verdict_for(existing, record, now);
        }
        if self.json_bytes_bound + record.json_bytes_bound(key) > MAX_BYTES {
            return Verdict::Full;
        }
        self.insert(key.clone(), record.clone());
        Verdict::Added
    }

    /// Records how the request of `attempt` ended; returns whether the shard changed.
    ///
    /// If the shard has no room for the body of a response, the outcome is recorded without it.
    pub fn record_outcome(&mut self, key: &Key, attempt: Attempt, outcome: Outcome) -> bool {
        let Some(mut record) = self.remove_unfinished(key, attempt) else {
            return false;
        };
        record.outcome = Some(outcome);
        if self.json_bytes_bound + record.json_bytes_bound(key) > MAX_BYTES {
            record.outcome = record.outcome.map(without_body);
        }
        self.insert(key.clone(), record);
        true
    }

    /// Removes the record of an attempt that did not start its request; returns whether the shard
    /// changed.
    ///
    /// A record with an outcome stays.
    pub fn remove_claim(&mut self, key: &Key, attempt: Attempt) -> bool {
        self.remove_unfinished(key, attempt).is_some()
    }

    /// Removes the records whose retention has ended; returns whether the shard changed.
    pub fn remove_expired(&mut self, now: Timestamp) -> bool {
        let is_expired = |record: &Record| now.since(record.until) > RETENTION;
        let expired = self.records.extract_if(.., |_, record| is_expired(record));
        let freed: Vec<usize> =
            expired.map(|(key, record)| record.json_bytes_bound(&key)).collect();
        self.json_bytes_bound -= freed.iter().sum::<usize>();
        !freed.is_empty()
    }

    /// Returns the record of a key.
    pub fn get(&self, key: &Key) -> Option<&Record> {
        self.records.get(key)
    }

    /// Returns the records, ordered by key.
    pub fn records(&self) -> impl Iterator<Item = (&Key, &Record)> {
        self.records.iter()
    }

    /// Returns an upper bound of the shard's size in JSON, in bytes, without the enclosing object.
    pub const fn json_bytes_bound(&self) -> usize {
        self.json_bytes_bound
    }

    pub(super) fn insert(&mut self, key: Key, record: Record) {
        self.json_bytes_bound += record.json_bytes_bound(&key);
        self.records.insert(key, record);
    }

    /// Removes and returns the record of `attempt` if it has no outcome.
    fn remove_unfinished(&mut self, key: &Key, attempt: Attempt) -> Option<Record> {
        let existing = self.records.get(key)?;
        if existing.attempt != attempt || existing.outcome.is_some() {
            return None;
        }
        let record = self.records.remove(key)?;
        self.json_bytes_bound -= record.json_bytes_bound(key);
        Some(record)
    }
}

/// Returns the verdict on claiming a key with `new` while it has the record `existing`.
fn verdict_for(existing: &Record, new: &Record, now: Timestamp) -> Verdict {
    if existing.attempt == new.attempt {
        return Verdict::Own;
    }
    if existing.fingerprint != new.fingerprint {
        return Verdict::Reused;
    }
    match &existing.outcome {
        Some(outcome) => Verdict::Finished(outcome.clone()),
        None if now > existing.until => Verdict::Unknown,
        None => Verdict::Held { until: existing.until },
    }
}

fn without_body(outcome: Outcome) -> Outcome {
    match outcome {
        Outcome::Done(response) => Outcome::Done(response.without_body()),
        other => other,
    }
}
