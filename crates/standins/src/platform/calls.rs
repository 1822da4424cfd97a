use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

/// The span over which calls are limited.
const WINDOW: Duration = Duration::from_secs(1);

/// Calls so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Gets, lists and watches.
    pub reads: u64,
    /// Puts and deletes.
    pub writes: u64,
    /// Calls that were over the rate.
    pub limited: u64,
}

/// A limit of calls a second, over windows that start with a call.
#[derive(Debug)]
pub(super) struct Limit {
    rate: u32,
    start: Option<Instant>,
    used: u32,
}

impl Limit {
    pub(super) const fn new(rate: u32) -> Self {
        Self { rate, start: None, used: 0 }
    }

    /// Takes a call, or returns false when it is over the rate.
    pub(super) fn take(&mut self, now: Instant) -> bool {
        if self.start.is_none_or(|start| now.duration_since(start) >= WINDOW) {
            self.start = Some(now);
            self.used = 0;
        }
        self.used += 1;
        self.used <= self.rate
    }
}
