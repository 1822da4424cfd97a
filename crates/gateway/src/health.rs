//! Servers that fail: which ones get no new work for a while.
//!
//! Judged by the outcome of real requests only. A server that is set aside is tried again with
//! real requests after its time; each further failure doubles the time.

use std::collections::HashMap;
use std::time::Duration;

use kumquattiller_base::runner;
use kumquattiller_base::time::Moment;

/// First time that a server is set aside for; each further failure doubles it.
const FIRST_PAUSE: Duration = Duration::from_millis(700);
/// Longest time that a server is set aside for.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
/// How long a server is set aside that is said to take no part.
const UNUSABLE_HELPER_PAUSE: Duration = Duration::from_secs(3);
/// How long what a peer tells of it counts; the peer repeats it.
const PEER_REPORT_PAUSE: Duration = Duration::from_millis(500);
/// Weight of the latest answer in a server's share of failures.
const FAILURE_WEIGHT: f64 = 0.15;
/// Share of failures beyond that of the other servers at which a server is set aside.
const FAILURE_EXCESS: f64 = 0.3;
/// Answers before a server's share of failures counts.
const MIN_ANSWERS: u32 = 5;

/// How a send to a server went.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// It answered with success.
    Good,
    /// It answered with a failure of its own.
    Failed,
    /// It refused the request for lack of room.
    Full,
    /// Another server says that it takes no part: it is leaving, gone or full of others' prompts.
    #[strum(serialize = "no_part")]
    UnusableHelper,
    /// No connection could be opened.
    Unreachable,
    /// The connection broke before the whole answer.
    Broken,
    /// It said nothing for too long.
    Silent,
}

#[derive(Debug, Default)]
struct Record {
    aside_until: Moment,
    unusable_until: Moment,
    /// The same as a peer tells it.
    peer_unusable_until: Moment,
    consecutive_failures: u32,
    answers: u32,
    failure_rate: f64,
}

/// What is known of the health of servers.
#[derive(Debug, Default)]
pub struct Health {
    records: HashMap<runner::Id, Record>,
}

impl Health {
    /// Takes in how a send went; returns for how long the server is set aside, if it is.
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
                record.record_answer(0.0);
                return None;
            }
            Outcome::Failed => {
                record.record_answer(1.0);
                let excess = record.failure_rate - others;
                if record.answers < MIN_ANSWERS || excess < FAILURE_EXCESS {
                    return None;
                }
            }
            Outcome::Broken if record.consecutive_failures == 0 => {
                record.consecutive_failures = 1;
                record.record_answer(1.0);
                return None;
            }
            Outcome::UnusableHelper => {
                record.unusable_until = now + UNUSABLE_HELPER_PAUSE;
                return Some(UNUSABLE_HELPER_PAUSE);
            }
            Outcome::Unreachable | Outcome::Broken | Outcome::Silent => record.record_answer(1.0),
        }
        Some(record.set_aside(now))
    }

    /// Tells whether a server may get new work.
    pub fn is_usable(&self, server: &runner::Id, now: Moment) -> bool {
        self.records
            .get(server)
            .is_none_or(|r| r.aside_until.max(r.unusable_until).max(r.peer_unusable_until) <= now)
    }

    /// Returns the servers of which this daemon was told that they take no part, for the peers.
    pub fn unusable_helpers(&self, now: Moment) -> impl Iterator<Item = &runner::Id> {
        self.records.iter().filter(move |(_, r)| r.unusable_until > now).map(|(id, _)| id)
    }

    /// Takes in that a peer was told that a server takes no part.
    pub fn mark_unusable_helper(&mut self, server: &runner::Id, now: Moment) {
        let record = self.records.entry(server.clone()).or_default();
        record.peer_unusable_until = now + PEER_REPORT_PAUSE;
    }

    /// Returns a server's share of failures, 0 to 1.
    pub fn failure_rate(&self, server: &runner::Id) -> f64 {
        self.records.get(server).map_or(0.0, |r| r.failure_rate)
    }

    /// Forgets the servers that are not known any more.
    pub fn retain(&mut self, known: impl Fn(&runner::Id) -> bool) {
        self.records.retain(|id, _| known(id));
    }

    /// Forgets what is known of a server that started again.
    pub fn reset(&mut self, server: &runner::Id) {
        self.records.remove(server);
    }

    /// Returns the mean share of failures of the other servers.
    fn mean_failure_rate_of_others(&self, server: &runner::Id) -> f64 {
        let others = self.records.iter().filter(|(id, _)| *id != server);
        let (sum, count) = others.fold((0.0, 0), |(sum, n), (_, r)| (sum + r.failure_rate, n + 1));
        if count == 0 { 0.0 } else { sum / f64::from(count) }
    }
}

impl Record {
    fn record_answer(&mut self, failure: f64) {
        self.answers += 1;
        self.failure_rate += FAILURE_WEIGHT * (failure - self.failure_rate);
    }

    fn set_aside(&mut self, now: Moment) -> Duration {
        let pause =
            FIRST_PAUSE.saturating_mul(1 << self.consecutive_failures.min(4)).min(LONGEST_PAUSE);
        self.consecutive_failures += 1;
        self.aside_until = now + pause;
        pause
    }
}
