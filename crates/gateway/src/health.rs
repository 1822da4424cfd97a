//! Health of the backend servers.
//!
//! Health is derived from the outcomes of real requests only, without separate probes. A failing
//! server is excluded from new work for some time, after which real requests are sent to it again.
//! Each further failure doubles the time.

use std::collections::HashMap;
use std::time::Duration;

use kumquattiller_base::runner;
use kumquattiller_base::time::Moment;

/// Initial exclusion time of a failing server; each further failure doubles it.
const MIN_EXCLUSION: Duration = Duration::from_millis(700);
/// Maximum exclusion time of a failing server.
const MAX_EXCLUSION: Duration = Duration::from_secs(4);
/// Exclusion time of a server that another server could not use as a helper.
const UNUSABLE_HELPER_EXCLUSION: Duration = Duration::from_secs(3);
/// Exclusion time of a server that a peer reports as an unusable helper. It is short because the
/// peer repeats the report.
const PEER_REPORT_EXCLUSION: Duration = Duration::from_millis(500);
/// Weight of the latest attempt in a server's failure rate.
const FAILURE_WEIGHT: f64 = 0.15;
/// Failure rate above the mean of the other servers from which a server is excluded.
const MAX_FAILURE_EXCESS: f64 = 0.3;
/// Minimum number of attempts before a server's failure rate counts.
const MIN_ATTEMPTS: u32 = 5;

/// Outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// The server sent a complete, successful response.
    Good,
    /// The server responded with an error.
    Failed,
    /// The server refused the request for lack of capacity.
    Full,
    /// Another server could not use this server as a helper: it is draining, gone or out of memory.
    #[strum(serialize = "no_part")]
    UnusableHelper,
    /// No connection to the server could be opened.
    Unreachable,
    /// The connection broke before the response was complete, or the response was invalid.
    Broken,
    /// The server sent nothing for too long.
    Silent,
}

#[derive(Debug, Default)]
struct Record {
    excluded_until: Moment,
    unusable_until: Moment,
    /// Time until which peers reported it as an unusable helper.
    peer_unusable_until: Moment,
    consecutive_failures: u32,
    attempts: u32,
    failure_rate: f64,
}

/// Health records of the servers.
#[derive(Debug, Default)]
pub struct Health {
    records: HashMap<runner::Id, Record>,
}

impl Health {
    /// Records the outcome of an attempt; returns the exclusion time if the server is now excluded.
    pub fn record(
        &mut self,
        server: &runner::Id,
        outcome: Outcome,
        now: Moment,
    ) -> Option<Duration> {
        let others = self.mean_failure_rate_of_others(server);
        let record = self.records.entry(server.clone()).or_default();
        match outcome {
            Outcome::Full => return None,
            Outcome::Good => {
                record.consecutive_failures = 0;
                record.record_attempt(0.0);
                return None;
            }
            Outcome::Failed => {
                record.record_attempt(1.0);
                let excess = record.failure_rate - others;
                if record.attempts < MIN_ATTEMPTS || excess < MAX_FAILURE_EXCESS {
                    return None;
                }
            }
            Outcome::Broken if record.consecutive_failures == 0 => {
                record.consecutive_failures = 1;
                record.record_attempt(1.0);
                return None;
            }
            Outcome::UnusableHelper => {
                record.unusable_until = now + UNUSABLE_HELPER_EXCLUSION;
                return Some(UNUSABLE_HELPER_EXCLUSION);
            }
            Outcome::Unreachable | Outcome::Broken | Outcome::Silent => record.record_attempt(1.0),
        }
        Some(record.exclude(now))
    }

    /// Returns whether a server may get new work.
    pub fn is_usable(&self, server: &runner::Id, now: Moment) -> bool {
        self.records.get(server).is_none_or(|r| {
            r.excluded_until.max(r.unusable_until).max(r.peer_unusable_until) <= now
        })
    }

    /// Returns the servers that this daemon found to be unusable as helpers, to report to peers.
    pub fn unusable_helpers(&self, now: Moment) -> impl Iterator<Item = &runner::Id> {
        self.records.iter().filter(move |(_, r)| r.unusable_until > now).map(|(id, _)| id)
    }

    /// Records that a peer reported a server as an unusable helper.
    pub fn mark_unusable_helper(&mut self, server: &runner::Id, now: Moment) {
        let record = self.records.entry(server.clone()).or_default();
        record.peer_unusable_until = now + PEER_REPORT_EXCLUSION;
    }

    /// Returns a server's failure rate, from 0 to 1.
    pub fn failure_rate(&self, server: &runner::Id) -> f64 {
        self.records.get(server).map_or(0.0, |r| r.failure_rate)
    }

    /// Removes the records of servers that are no longer known.
    pub fn retain(&mut self, known: impl Fn(&runner::Id) -> bool) {
        self.records.retain(|id, _| known(id));
    }

    /// Removes the record of a server that has restarted.
    pub fn reset(&mut self, server: &runner::Id) {
        self.records.remove(server);
    }

    /// Returns the mean failure rate of the other servers.
    fn mean_failure_rate_of_others(&self, server: &runner::Id) -> f64 {
        let others = self.records.iter().filter(|(id, _)| *id != server);
        let (sum, count) = others.fold((0.0, 0), |(sum, n), (_, r)| (sum + r.failure_rate, n + 1));
        if count == 0 { 0.0 } else { sum / f64::from(count) }
    }
}

impl Record {
    fn record_attempt(&mut self, failure: f64) {
        self.attempts += 1;
        self.failure_rate += FAILURE_WEIGHT * (failure - self.failure_rate);
    }

    fn exclude(&mut self, now: Moment) -> Duration {
        let exclusion =
            MIN_EXCLUSION.saturating_mul(1 << self.consecutive_failures.min(4)).min(MAX_EXCLUSION);
        self.consecutive_failures += 1;
        self.excluded_until = now + exclusion;
        exclusion
    }
}
