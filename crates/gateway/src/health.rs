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
const NO_PART_PAUSE: Duration = Duration::from_secs(3);
/// How long what a peer tells of it counts; the peer repeats it.
const TOLD_PAUSE: Duration = Duration::from_millis(500);
/// Weight of the latest answer in a server's share of failures.
const FAILURE_WEIGHT: f64 = 0.15;
/// Share of failures beyond that of the other servers at which a server is set aside.
const FAILURE_EXCESS: f64 = 0.3;
/// Answers before a server's share of failures counts.
const LEAST_ANSWERS: u32 = 5;

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
    NoPart,
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
    no_part_until: Moment,
    /// The same as a peer tells it.
    told_until: Moment,
    in_a_row: u32,
    answers: u32,
    failures: f64,
}

/// What is known of the health of servers.
#[derive(Debug, Default)]
pub struct Health {
    records: HashMap<runner::Id, Record>,
}

impl Health {
    /// Takes in how a send went; returns for how long the server is set aside, if it is.
    pub fn note(&mut self, server: &runner::Id, outcome: Outcome, now: Moment) -> Option<Duration> {
        let usual = self.usual_failures(server);
        let record = self.records.entry(server.clone()).or_default();
        match outcome {
            Outcome::Full => return None,
            Outcome::Good => {
                record.in_a_row = 0;
                record.answer(0.0);
                return None;
            }
            Outcome::Failed => {
                record.answer(1.0);
                let excess = record.failures - usual;
                if record.answers < LEAST_ANSWERS || excess < FAILURE_EXCESS {
                    return None;
                }
            }
            Outcome::Broken if record.in_a_row == 0 => {
                record.in_a_row = 1;
                record.answer(1.0);
                return None;
            }
            Outcome::NoPart => {
                record.no_part_until = now + NO_PART_PAUSE;
                return Some(NO_PART_PAUSE);
            }
            Outcome::Unreachable | Outcome::Broken | Outcome::Silent => record.answer(1.0),
        }
        Some(record.set_aside(now))
    }

    /// Tells whether a server may get new work.
    pub fn is_usable(&self, server: &runner::Id, now: Moment) -> bool {
        self.records
            .get(server)
            .is_none_or(|r| r.aside_until.max(r.no_part_until).max(r.told_until) <= now)
    }

    /// Returns the servers of which this daemon was told that they take no part, for the peers.
    pub fn without_part(&self, now: Moment) -> impl Iterator<Item = &runner::Id> {
        self.records.iter().filter(move |(_, r)| r.no_part_until > now).map(|(id, _)| id)
    }

    /// Takes in that a peer was told that a server takes no part.
    pub fn tell_without_part(&mut self, server: &runner::Id, now: Moment) {
        let record = self.records.entry(server.clone()).or_default();
        record.told_until = now + TOLD_PAUSE;
    }

    /// Returns a server's share of failures, 0 to 1.
    pub fn failures(&self, server: &runner::Id) -> f64 {
        self.records.get(server).map_or(0.0, |r| r.failures)
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
    fn usual_failures(&self, server: &runner::Id) -> f64 {
        let others = self.records.iter().filter(|(id, _)| *id != server);
        let (sum, count) = others.fold((0.0, 0), |(sum, n), (_, r)| (sum + r.failures, n + 1));
        if count == 0 { 0.0 } else { sum / f64::from(count) }
    }
}

impl Record {
    fn answer(&mut self, failure: f64) {
        self.answers += 1;
        self.failures += FAILURE_WEIGHT * (failure - self.failures);
    }

    fn set_aside(&mut self, now: Moment) -> Duration {
        let pause = FIRST_PAUSE.saturating_mul(1 << self.in_a_row.min(4)).min(LONGEST_PAUSE);
        self.in_a_row += 1;
        self.aside_until = now + pause;
        pause
    }
}
