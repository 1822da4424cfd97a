use std::time::Duration;

use kumquattiller_base::time::Moment;

use crate::rate_limit::Rate;

/// Number of requests that may be saved up.
const CAPACITY: f64 = 1.0;

/// A token bucket, which starts empty. It goes into debt by requests that cannot wait.
#[derive(Debug, Clone, Copy)]
pub(super) struct Bucket {
    tokens: f64,
    filled_at: Moment,
}

impl Bucket {
    /// Creates an empty bucket.
    pub(super) const fn empty(now: Moment) -> Self {
        Self { tokens: 0.0, filled_at: now }
    }

    /// Adds the tokens of the time since the last call, at a rate; `None` adds none.
    pub(super) fn fill(&mut self, rate: Option<Rate>, now: Moment) {
        let time = now.since(self.filled_at);
        let added = rate.map_or(0.0, |rate| rate.in_time(time));
        self.tokens = (self.tokens + added).min(CAPACITY);
        self.filled_at = now;
    }

    /// Returns whether a request may be sent.
    pub(super) const fn has_token(self) -> bool {
        self.tokens >= CAPACITY
    }

    /// Takes the token of a request, whether or not there is one.
    pub(super) const fn take(&mut self) {
        self.tokens -= 1.0;
    }

    /// Discards saved tokens; a debt stays.
    pub(super) const fn discard(&mut self) {
        self.tokens = self.tokens.min(0.0);
    }

    /// Returns the time until a request may be sent.
    pub(super) fn time_left(self, rate: Rate) -> Duration {
        rate.time_for((CAPACITY - self.tokens).max(0.0))
    }
}
