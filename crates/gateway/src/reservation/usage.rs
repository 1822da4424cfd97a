use std::cell::Cell;
use std::time::Duration;

use kumquattiller_base::time::Moment;

/// When the memory that a request has reserved last showed that it is used, and until when it stays
/// reserved without another sign.
#[derive(Debug)]
pub(super) struct Usage {
    last_sign: Cell<Moment>,
    longest_gap: Cell<Duration>,
    limit: Duration,
}

impl Usage {
    /// Creates the usage of memory that is being reserved now, and that may show no use for `limit`.
    pub(super) const fn new(limit: Duration, now: Moment) -> Self {
        Self { last_sign: Cell::new(now), longest_gap: Cell::new(Duration::ZERO), limit }
    }

    /// Records a sign that the memory is used.
    pub(super) fn record(&self, now: Moment) {
        self.longest_gap.set(self.longest_unused(now));
        self.last_sign.set(now);
    }

    /// Returns the time until which the memory stays reserved without another sign.
    pub(super) fn ends_at(&self) -> Moment {
        self.last_sign.get() + self.limit
    }

    /// Returns the longest time without a sign, up to now.
    pub(super) fn longest_unused(&self, now: Moment) -> Duration {
        self.longest_gap.get().max(now.since(self.last_sign.get()))
    }
}
