use std::cell::Cell;
use std::time::Duration;

use kumquattiller_base::time::Moment;

/// When the memory that a request has reserved last showed that it is used.
#[derive(Debug)]
pub(super) struct Usage {
    last_sign: Cell<Moment>,
    longest_gap: Cell<Duration>,
}

impl Usage {
    /// Creates the usage of memory that is being reserved now.
    pub(super) const fn new(now: Moment) -> Self {
        Self { last_sign: Cell::new(now), longest_gap: Cell::new(Duration::ZERO) }
    }

    /// Records a sign that the memory is used.
    pub(super) fn record(&self, now: Moment) {
        self.longest_gap.set(self.longest_unused(now));
        self.last_sign.set(now);
    }

    /// Returns the longest time without a sign, up to now.
    pub(super) fn longest_unused(&self, now: Moment) -> Duration {
        self.longest_gap.get().max(now.since(self.last_sign.get()))
    }
}
