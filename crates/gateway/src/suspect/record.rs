use std::time::Duration;

use kumquattiller_base::time::Moment;

use crate::suspect::Crash;
use crate::suspect::Feature;
use crate::suspect::Report;

/// Number of crashes after which a feature may be refused.
pub const CRASH_LIMIT: usize = 3;
/// How long a record is kept after the last crash.
const RETENTION: Duration = Duration::from_secs(120);
/// How long a record with [`CRASH_LIMIT`] crashes is kept after the last one.
const REFUSAL_TIME: Duration = Duration::from_secs(600);
/// Maximum number of crashes in a record; the earliest is dropped.
const MAX_CRASHES: usize = 32;
/// Maximum number of crashes of a feature in a report.
const MAX_REPORTED: usize = 12;

/// The crashes for which a feature was blamed.
#[derive(Debug, Clone)]
pub struct Record {
    pub feature: Feature,
    /// In the order in which this daemon learned of them.
    blamed: Vec<Crash>,
    exonerated: Vec<Crash>,
    /// When the last crash happened.
    crashed_at: Moment,
    /// When anything was added.
    pub changed_at: Moment,
}

impl Record {
    /// Creates a record for a crash that happened at `crashed_at`.
    pub const fn new(feature: Feature, crashed_at: Moment) -> Self {
        Self {
            feature,
            blamed: Vec::new(),
            exonerated: Vec::new(),
            crashed_at,
            changed_at: crashed_at,
        }
    }

    /// Returns the crashes that the feature may have caused.
    pub fn open_crashes(&self) -> impl Iterator<Item = Crash> {
        self.blamed.iter().copied().filter(|crash| !self.exonerated.contains(crash))
    }

    /// Adds a crash that happened at `crashed_at`; returns whether it is new.
    pub fn blame(&mut self, crash: Crash, crashed_at: Moment, now: Moment) -> bool {
        let is_new = add(&mut self.blamed, crash);
        if is_new {
            self.crashed_at = self.crashed_at.max(crashed_at);
            self.changed_at = now;
        }
        is_new
    }

    /// Clears the feature of a crash; returns whether it was not cleared before.
    pub fn exonerate(&mut self, crash: Crash, now: Moment) -> bool {
        let is_new = add(&mut self.exonerated, crash);
        if is_new {
            self.changed_at = now;
        }
        is_new
    }

    /// Clears the feature of all crashes so far; returns whether there were any.
    pub fn exonerate_all(&mut self, now: Moment) -> bool {
        let open: Vec<Crash> = self.open_crashes().collect();
        for crash in &open {
            self.exonerate(*crash, now);
        }
        !open.is_empty()
    }

    /// Adds what a peer reports; returns whether any of it is new.
    pub fn merge(&mut self, report: &Report, now: Moment) -> bool {
        let mut has_changed = false;
        for crash in report.exonerated.iter().rev() {
            has_changed |= self.exonerate(*crash, now);
        }
        for crash in report.blamed.iter().rev() {
            has_changed |= self.blame(*crash, now - report.age, now);
        }
        has_changed
    }

    pub fn is_expired(&self, now: Moment) -> bool {
        let is_certain = self.open_crashes().count() >= CRASH_LIMIT;
        let lifetime = if is_certain { REFUSAL_TIME } else { RETENTION };
        now.since(self.crashed_at) >= lifetime
    }

    pub fn report(&self, now: Moment) -> Report {
        let latest = |crashes: &[Crash]| crashes.iter().rev().take(MAX_REPORTED).copied().collect();
        Report {
            feature: self.feature,
            blamed: latest(&self.blamed),
            exonerated: latest(&self.exonerated),
            age: now.since(self.crashed_at),
        }
    }
}

/// Adds a crash to a list without repetitions; returns whether it is new.
fn add(crashes: &mut Vec<Crash>, crash: Crash) -> bool {
    if crashes.contains(&crash) {
        return false;
    }
    if crashes.len() >= MAX_CRASHES {
        crashes.remove(0);
    }
    crashes.push(crash);
    true
}
