use std::collections::BTreeMap;
use std::time::Duration;

use kumquattiller_base::time::Moment;
use serde::Deserialize;
use serde::Serialize;

use crate::suspect::Record;
use crate::suspect::Registry;
use crate::suspect::death::Id;

/// The suspect records in the form kept in the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Records by the fingerprint of the request.
    pub records: BTreeMap<String, Entry>,
}

/// One stored record.
///
/// Its expiry is wall-clock time in milliseconds since the Unix epoch, because daemons do not share
/// the clock behind [`Moment`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    deaths: Vec<Id>,
    confirmations: Vec<Id>,
    cleared: Vec<Id>,
    until_ms: u64,
}

impl Document {
    /// Converts the unexpired records of a registry; `wall_ms` is `now` in Unix milliseconds.
    pub fn of(registry: &Registry, now: Moment, wall_ms: u64) -> Self {
        let entry = |record: &Record| Entry {
            deaths: record.deaths.iter().copied().collect(),
            confirmations: record.confirmations.iter().copied().collect(),
            cleared: record.cleared.iter().copied().collect(),
            until_ms: wall_ms + record.until.since(now).as_millis() as u64,
        };
        let records = registry.records().filter(|(_, record)| record.until > now);
        Self { records: records.map(|(key, record)| (key.to_string(), entry(record))).collect() }
    }

    /// Returns whether both hold the same records, ignoring their expiry.
    pub fn same_records(&self, other: &Self) -> bool {
        let without_expiry = |document: &Self| {
            let entry = |entry: &Entry| Entry { until_ms: 0, ..entry.clone() };
            document
                .records
                .iter()
                .map(|(key, record)| (key.clone(), entry(record)))
                .collect::<Vec<_>>()
        };
        without_expiry(self) == without_expiry(other)
    }

    /// Merges the records into a registry; returns whether any of them changed it.
    ///
    /// Expired records and records with an invalid fingerprint are ignored.
    pub fn merge_into(&self, registry: &mut Registry, now: Moment, wall_ms: u64) -> bool {
        let mut changed = false;
        for (key, entry) in &self.records {
            let Ok(fingerprint) = key.parse() else {
                continue;
            };
            let remaining = Duration::from_millis(entry.until_ms.saturating_sub(wall_ms));
            let record = Record {
                deaths: entry.deaths.iter().copied().collect(),
                confirmations: entry.confirmations.iter().copied().collect(),
                cleared: entry.cleared.iter().copied().collect(),
                until: now + remaining.min(super::RETENTION),
            };
            changed |= registry.merge(fingerprint, &record, now);
        }
        changed
    }
}
