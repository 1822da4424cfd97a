use std::time::Duration;

use kumquattiller_base::time::Moment;

/// Longest time for which requests are held back. A daemon that reaches neither the store nor a
/// peer goes on serving after that.
pub const MAX_HOLD: Duration = Duration::from_secs(1);

/// Holds requests back after the process did not run, until its copy has been confirmed.
#[derive(Debug, Clone, Copy, Default)]
pub struct Hold {
    since: Option<Moment>,
}

impl Hold {
    /// Begins to hold requests back.
    pub const fn begin(&mut self, now: Moment) {
        self.since = Some(now);
    }

    /// Returns for how much longer requests are held back at most: not at all once the copy, last
    /// confirmed at `confirmed_at`, has been confirmed since the hold began.
    pub fn left(&mut self, confirmed_at: Option<Moment>, now: Moment) -> Duration {
        let Some(since) = self.since else {
            return Duration::ZERO;
        };
        let left = (since + MAX_HOLD).since(now);
        if left.is_zero() || confirmed_at.is_some_and(|at| at >= since) {
            self.since = None;
            return Duration::ZERO;
        }
        left
    }
}
