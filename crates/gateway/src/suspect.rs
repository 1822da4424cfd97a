//! Requests that may have ended the servers that ran them.
//!
//! A request whose server ended while it ran is counted by its fingerprint, here and at the
//! peers. One that has broken [`DEATH_LIMIT`] servers is not sent again for a while.

use std::collections::HashMap;
use std::time::Duration;

use kumquattiller_base::fingerprint::Fingerprint;
use kumquattiller_base::time::Moment;

/// Servers that a request may break before it is refused.
pub const CRASH_LIMIT: u32 = 3;
/// How long a record is kept after the last break.
const RETENTION: Duration = Duration::from_secs(120);
/// Most records that are kept; the oldest gives way.
const MAX_RECORDS: usize = 4_096;

#[derive(Debug, Clone, Copy)]
struct Record {
    crashes: u32,
    last: Moment,
}

/// The records of a daemon.
#[derive(Debug, Default)]
pub struct Suspects {
    records: HashMap<Fingerprint, Record>,
}

impl Suspects {
    /// Counts a break; returns how many there are now.
    pub fn record_crash(&mut self, fingerprint: Fingerprint, now: Moment) -> u32 {
        self.evict(now);
        let record = self.records.entry(fingerprint).or_insert(Record { crashes: 0, last: now });
        record.crashes += 1;
        record.last = now;
        record.crashes
    }

    /// Takes in a peer's count.
    pub fn merge_count(&mut self, fingerprint: Fingerprint, crashes: u32, now: Moment) {
        self.evict(now);
        let record = self.records.entry(fingerprint).or_insert(Record { crashes: 0, last: now });
        if crashes > record.crashes {
            record.crashes = crashes;
            record.last = now;
        }
    }

    /// Forgets a request that ended with its whole answer.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        self.records.remove(&fingerprint);
    }

    /// Tells whether a request is refused.
    pub fn is_refused(&self, fingerprint: Fingerprint, now: Moment) -> bool {
        self.records
            .get(&fingerprint)
            .is_some_and(|r| r.crashes >= CRASH_LIMIT && now.since(r.last) < RETENTION)
    }

    /// Returns the counts of two and more, latest first, for the peers.
    pub fn counts(&self, most: usize) -> Vec<(Fingerprint, u32)> {
        let mut counts: Vec<_> = self.records.iter().filter(|(_, r)| r.crashes > 1).collect();
        counts.sort_by_key(|(_, r)| std::cmp::Reverse(r.last));
        counts.into_iter().take(most).map(|(f, r)| (*f, r.crashes)).collect()
    }

    fn evict(&mut self, now: Moment) {
        self.records.retain(|_, r| now.since(r.last) < RETENTION);
        if self.records.len() < MAX_RECORDS {
            return;
        }
        let oldest = self.records.iter().min_by_key(|(_, r)| r.last).map(|(f, _)| *f);
        oldest.map(|f| self.records.remove(&f));
    }
}
