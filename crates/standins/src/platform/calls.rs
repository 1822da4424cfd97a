use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

/// Length of the window over which calls are limited.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Numbers of calls so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Accepted gets, lists and watches.
    pub reads: u64,
    /// Accepted puts and deletes.
    pub writes: u64,
    /// Calls rejected because they exceeded the rate limit.
    pub limited: u64,
}

/// Limits calls per second in fixed windows, each of which starts with a call.
#[derive(Debug)]
pub(super) struct RateLimiter {
    rate: u32,
    window_start: Option<Instant>,
    count: u32,
}

impl RateLimiter {
    pub(super) const fn new(rate: u32) -> Self {
        Self { rate, window_start: None, count: 0 }
    }

    /// Counts a call and returns whether it is within the rate.
    pub(super) fn try_acquire(&mut self, now: Instant) -> bool {
        if self.window_start.is_none_or(|start| now.duration_since(start) >= RATE_WINDOW) {
            self.window_start = Some(now);
            self.count = 0;
        }
        self.count += 1;
        self.count <= self.rate
    }
}
