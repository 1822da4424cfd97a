use std::collections::BTreeMap;
use std::time::Duration;

use kumquattiller_base::time::Moment;

use crate::freshness::Kind;

/// When each copy was last confirmed.
#[derive(Debug, Default)]
pub struct Table {
    confirmed_at: BTreeMap<Kind, Moment>,
}

impl Table {
    /// Records that the copy of a kind was complete at `at`.
    pub fn confirm(&mut self, kind: Kind, at: Moment) {
        let confirmed_at = self.confirmed_at.entry(kind).or_insert(at);
        *confirmed_at = at.max(*confirmed_at);
    }

    /// Returns the time since the last confirmation, or `None` if the copy was never confirmed.
    pub fn age(&self, kind: Kind, now: Moment) -> Option<Duration> {
        self.confirmed_at.get(&kind).map(|at| now.since(*at))
    }
}
