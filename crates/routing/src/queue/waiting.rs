use std::cmp::Ordering;
use std::cmp::Reverse;

use kumquattiller_base::time::Moment;

use crate::admission::order::AGED_SLACK_DIVISOR;
use crate::queue::Entry;
use crate::queue::Patience;
use crate::queue::Place;
use crate::queue::Shortage;

/// A request in the queue.
#[derive(Debug, Clone, Copy)]
pub(super) struct Waiting {
    /// The request.
    pub entry: Entry,
    /// When it arrived.
    pub since: Moment,
    /// Until when it may wait, unless it was promised to be served.
    pub due: Moment,
    /// Whether it was promised to be served.
    pub promised: bool,
    /// Whether it made room for a more valuable one.
    pub displaced: bool,
    /// Whether it has had its last try.
    pub exhausted: bool,
    /// Whether it has been told to wait.
    pub waited: bool,
    /// What the servers lacked when it was last tried.
    pub shortage: Option<Shortage>,
    /// Whether the servers may have room since then.
    pub woken: bool,
    /// When it is tried again without a wake-up.
    pub retry_at: Moment,
}

impl Waiting {
    /// Creates the entry of a request that arrives now.
    pub fn new(entry: Entry, promised: bool, now: Moment) -> Self {
        Self {
            entry,
            since: now,
            due: entry.in_time_until.min(entry.latest_start).max(now),
            promised,
            displaced: false,
            exhausted: false,
            waited: false,
            shortage: None,
            woken: true,
            retry_at: now,
        }
    }

    /// Returns until when the request may wait.
    pub fn limit(&self) -> Moment {
        if self.promised { self.entry.latest_start.max(self.since) } else { self.due }
    }

    /// Returns whether it was declined and nothing has changed since.
    pub fn is_resting(&self, now: Moment) -> bool {
        self.shortage.is_some() && !self.woken && now < self.retry_at
    }

    /// Returns how much it may cost others now.
    pub fn patience(&self, now: Moment) -> Patience {
        let limit = self.limit();
        if self.promised {
            Patience::Promised
        } else if now >= limit && self.shortage.is_some() {
            Patience::Exhausted
        } else {
            let all = limit.since(self.since).as_secs_f64();
            let waited = now.since(self.since).as_secs_f64();
            Patience::Waited(if waited > 0.0 { (waited / all).min(1.0) } else { 0.0 })
        }
    }

    /// Returns its place in the order.
    pub fn place(&self, over_share: bool) -> Place {
        Place {
            pool: self.entry.pool,
            urgency: self.entry.urgency,
            promised: self.promised,
            over_share,
            due: self.limit(),
            aged_at: self.since + self.limit().since(self.since) / AGED_SLACK_DIVISOR,
            shortage: self.shortage,
            work: self.entry.work,
            value: self.entry.value,
        }
    }

    /// Compares the worth of two entries of a full queue: urgency, then promises, then value.
    pub fn compare_worth(&self, other: &Self) -> Ordering {
        let class = |w: &Self| (Reverse(w.entry.urgency), w.promised);
        class(self).cmp(&class(other)).then(self.entry.value.total_cmp(&other.entry.value))
    }
}
