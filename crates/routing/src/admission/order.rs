//! The order in which waiting requests are admitted.

use std::time::Duration;

use kumquattiller_base::time::Moment;

use crate::admission::Item;

/// Divisor of the slack of a request that gives its wait until it becomes aged. The slack is the
/// time for which the request may wait and still finish before its deadline.
pub(crate) const AGED_SLACK_DIVISOR: u32 = 4;

/// A queued request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Waiting {
    /// The request.
    pub item: Item,
    /// When it arrived.
    pub since: Moment,
    /// When it becomes aged.
    pub aged_at: Moment,
}

impl Waiting {
    /// Creates the entry of a request that arrives now and may wait for `slack`.
    pub(super) fn new(item: Item, slack: Duration, now: Moment) -> Self {
        Self { item, since: now, aged_at: now + slack / AGED_SLACK_DIVISOR }
    }

    /// Returns whether the request is aged, so that released memory is kept for it.
    pub(super) fn is_aged(&self, now: Moment) -> bool {
        self.aged_at <= now
    }

    /// Returns the sort key. Aged requests come first, by the time at which they became aged. Then
    /// requests are ordered by size band, account rank and arrival.
    pub(super) fn key(&self, now: Moment) -> (bool, u64, u32, u8, Moment) {
        let aged = self.is_aged(now);
        let urgency = if aged { self.aged_at.as_micros() } else { 0 };
        let band = self.item.band().priority();
        (!aged, urgency, band, self.item.rank.get(), self.since)
    }
}
