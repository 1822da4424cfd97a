use std::collections::BTreeMap;
use std::time::Duration;

use kumquattiller_base::time::Moment;
use serde::Deserialize;
use serde::Serialize;

use crate::suspect::Case;
use crate::suspect::Id;
use crate::suspect::Registry;

/// The cases as the store keeps them, by fingerprint.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wire {
    /// The cases.
    pub cases: BTreeMap<String, Line>,
}

/// One case; times are of the shared clock, in milliseconds since the Unix epoch.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    deaths: Vec<Id>,
    convictions: Vec<Id>,
    acquitted: Vec<Id>,
    until_ms: u64,
}

impl Wire {
    /// Writes a registry down; `wall_ms` is `now` on the shared clock.
    pub fn of(registry: &Registry, now: Moment, wall_ms: u64) -> Self {
        let line = |case: &Case| Line {
            deaths: case.deaths.iter().copied().collect(),
            convictions: case.convictions.iter().copied().collect(),
            acquitted: case.acquitted.iter().copied().collect(),
            until_ms: wall_ms + case.until.since(now).as_millis() as u64,
        };
        let cases = registry.cases().filter(|(_, case)| case.until > now);
        Self { cases: cases.map(|(key, case)| (key.to_string(), line(case))).collect() }
    }

    /// Tells whether both hold the same cases, whenever those are forgotten.
    pub fn same_cases(&self, other: &Self) -> bool {
        let plain = |wire: &Self| {
            let line = |line: &Line| Line { until_ms: 0, ..line.clone() };
            wire.cases.iter().map(|(key, case)| (key.clone(), line(case))).collect::<Vec<_>>()
        };
        plain(self) == plain(other)
    }

    /// Merges the cases into a registry; returns whether any said anything new.
    ///
    /// Lines that cannot be read and lines that are over are passed over.
    pub fn merge_into(&self, registry: &mut Registry, now: Moment, wall_ms: u64) -> bool {
        let mut new = false;
        for (key, line) in &self.cases {
            let Ok(fingerprint) = key.parse() else {
                continue;
            };
            let left = Duration::from_millis(line.until_ms.saturating_sub(wall_ms));
            let case = Case {
                deaths: line.deaths.iter().copied().collect(),
                convictions: line.convictions.iter().copied().collect(),
                acquitted: line.acquitted.iter().copied().collect(),
                until: now + left.min(super::RETENTION),
            };
            new |= registry.merge(fingerprint, &case, now);
        }
        new
    }
}
