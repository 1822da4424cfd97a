use std::collections::BTreeMap;
use std::time::Duration;

use kumquattiller_base::time::Moment;
use serde::Deserialize;
use serde::Serialize;

use crate::suspect::Id;
use crate::suspect::Record;
use crate::suspect::Registry;

/// The suspect records in the form kept in the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wire {
    /// Records by the fingerprint of the request.
    pub records: BTreeMap<String, Line>,
}

/// One stored record.
///
/// Its expiry is wall-clock time in milliseconds since the Unix epoch, because daemons do not share
/// the clock behind [`Moment`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    deaths: Vec<Id>,
    confirmations: Vec<Id>,
    cleared: Vec<Id>,
    until_ms: u64,
}

impl Wire {
    /// Converts the unexpired records of a registry; `wall_ms` is `now` in Unix milliseconds.
    pub fn of(registry: &Registry, now: Moment, wall_ms: u64) -> Self {
        let line = |record: &Record| Line {
            deaths: record.deaths.iter().copied().collect(),
            confirmations: record.confirmations.iter().copied().collect(),
            cleared: record.cleared.iter().copied().collect(),
            until_ms: wall_ms + record.until.since(now).as_millis() as u64,
        };
        let records = registry.records().filter(|(_, record)| record.until > now);
        Self { records: records.map(|(key, record)| (key.to_string(), line(record))).collect() }
    }

    /// Returns whether both hold the same records, ignoring their expiry.
    pub fn same_cases(&self, other: &Self) -> bool {
        let without_expiry = |records: &Self| {
            let line = |line: &Line| Line { until_ms: 0, ..line.clone() };
            records
                .records
                .iter()
                .map(|(key, record)| (key.clone(), line(record)))
                .collect::<Vec<_>>()
        };
        without_expiry(self) == without_expiry(other)
    }

    /// Merges the records into a registry; returns whether any of them changed it.
    ///
    /// Expired records and records with an invalid fingerprint are ignored.
    pub fn merge_into(&self, registry: &mut Registry, now: Moment, wall_ms: u64) -> bool {
        let mut changed = false;
        for (key, line) in &self.records {
            let Ok(fingerprint) = key.parse() else {
                continue;
            };
            let remaining = Duration::from_millis(line.until_ms.saturating_sub(wall_ms));
            let record = Record {
                deaths: line.deaths.iter().copied().collect(),
                confirmations: line.confirmations.iter().copied().collect(),
                cleared: line.cleared.iter().copied().collect(),
                until: now + remaining.min(super::RETENTION),
            };
            changed |= registry.merge(fingerprint, &record, now);
        }
        changed
    }
}
