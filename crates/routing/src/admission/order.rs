//! The order in which waiting requests are admitted.

use std::time::Duration;

use kumquattiller_base::time::Moment;

use crate::admission::Item;

/// Share of the slack that a request waits before it is aged, as a divisor.
const AGED_SLACK_SHARE: u32 = 4;

/// A request that waits.
#[derive(Debug, Clone, Copy)]
pub(super) struct Waiting {
    /// The request.
    pub item: Item,
    /// When it came.
    pub since: Moment,
    /// When it is aged.
    pub aged_at: Moment,
}

impl Waiting {
    /// Makes the entry of a request that came now and may wait for `slack`.
    pub(super) fn new(item: Item, slack: Duration, now: Moment) -> Self {
        Self { item, since: now, aged_at: now + slack / AGED_SLACK_SHARE }
    }

    /// Tells whether memory is kept for it.
    pub(super) fn is_aged(&self, now: Moment) -> bool {
        self.aged_at <= now
    }

    /// Returns the key to sort by: aged ones by deadline, then short before long, rank, arrival.
    pub(super) fn key(&self, now: Moment) -> (bool, u64, u32, u8, Moment) {
        let aged = self.is_aged(now);
        let urgency = if aged { self.aged_at.as_micros() } else { 0 };
        let band = self.item.band().priority();
        (!aged, urgency, band, self.item.rank.get(), self.since)
    }
}
