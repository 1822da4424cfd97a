//! Requests suspected of crashing the servers that run them.
//!
//! A server crash during a request is counted by the request's fingerprint, and the counts are
//! exchanged with the peers. A request with [`CRASH_LIMIT`] crashes is refused for some time.

use std::collections::HashMap;
use std::time::Duration;

use kumquattiller_base::fingerprint::Fingerprint;
use kumquattiller_base::time::Moment;

/// Number of server crashes after which a request is refused.
pub const CRASH_LIMIT: u32 = 3;
/// How long a record is kept after the last crash.
const RETENTION: Duration = Duration::from_secs(120);
/// Maximum number of records; the oldest is evicted.
const MAX_RECORDS: usize = 4_096;

#[derive(Debug, Clone, Copy)]
struct Record {
    crashes: u32,
    last: Moment,
}

/// Crash counts by request fingerprint.
#[derive(Debug, Default)]
pub struct Suspects {
    records: HashMap<Fingerprint, Record>,
}

impl Suspects {
    /// Counts a crash; returns the new count.
    pub fn record_crash(&mut self, fingerprint: Fingerprint, now: Moment) -> u32 {
        self.evict(now);
        let record = self.records.entry(fingerprint).or_insert(Record { crashes: 0, last: now });
        record.crashes += 1;
        record.last = now;
        record.crashes
    }

    /// Merges the count of a peer; the larger count is kept.
    pub fn merge_count(&mut self, fingerprint: Fingerprint, crashes: u32, now: Moment) {
        self.evict(now);
        let record = self.records.entry(fingerprint).or_insert(Record { crashes: 0, last: now });
        if crashes > record.crashes {
            record.crashes = crashes;
            record.last = now;
        }
    }

    /// Removes the record of a request that was answered completely.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        self.records.remove(&fingerprint);
    }

    /// Returns whether a request is refused.
    pub fn is_refused(&self, fingerprint: Fingerprint, now: Moment) -> bool {
        self.records
            .get(&fingerprint)
            .is_some_and(|r| r.crashes >= CRASH_LIMIT && now.since(r.last) < RETENTION)
    }

    /// Returns up to `limit` counts of at least 2, latest first, to report to peers.
    pub fn counts(&self, limit: usize) -> Vec<(Fingerprint, u32)> {
        let mut counts: Vec<_> = self.records.iter().filter(|(_, r)| r.crashes > 1).collect();
        counts.sort_by_key(|(_, r)| std::cmp::Reverse(r.last));
        counts.into_iter().take(limit).map(|(f, r)| (*f, r.crashes)).collect()
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
