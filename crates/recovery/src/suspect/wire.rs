use std::collections::BTreeMap;
use std::time::Duration;

use kumquattiller_base::time::Moment;
use serde::Deserialize;
use serde::Serialize;

use crate::suspect::Id;
use crate::suspect::Record;
use crate::suspect::Registry;

/// The records as the store keeps them, by fingerprint.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wire {
    /// The records.
    pub records: BTreeMap<String, Line>,
}

/// One record; times are of the shared clock, in milliseconds since the Unix epoch.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    deaths: Vec<Id>,
    confirmations: Vec<Id>,
    cleared: Vec<Id>,
    until_ms: u64,
}

impl Wire {
    /// Writes a registry down; `wall_ms` is `now` on the shared clock.
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

    /// Tells whether both hold the same records, whenever those are forgotten.
    pub fn same_cases(&self, other: &Self) -> bool {
        let plain = |wire: &Self| {
            let line = |line: &Line| Line { until_ms: 0, ..line.clone() };
            wire.records.iter().map(|(key, record)| (key.clone(), line(record))).collect::<Vec<_>>()
        };
        plain(self) == plain(other)
    }

    /// Merges the records into a registry; returns whether any said anything new.
    ///
    /// Lines that cannot be read and lines that are over are passed over.
    pub fn merge_into(&self, registry: &mut Registry, now: Moment, wall_ms: u64) -> bool {
        let mut new = false;
        for (key, line) in &self.records {
            let Ok(fingerprint) = key.parse() else {
                continue;
            };
            let left = Duration::from_millis(line.until_ms.saturating_sub(wall_ms));
            let record = Record {
                deaths: line.deaths.iter().copied().collect(),
                confirmations: line.confirmations.iter().copied().collect(),
                cleared: line.cleared.iter().copied().collect(),
                until: now + left.min(super::RETENTION),
            };
            new |= registry.merge(fingerprint, &record, now);
        }
        new
    }
}
