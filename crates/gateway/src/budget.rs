//! The budget of sends beyond the first that all daemons share.

use std::collections::VecDeque;
use std::time::Duration;

use kumquattiller_base::time::Moment;

/// Part of the allowed ratio that a daemon uses, to stay clear of the bound.
const RATIO_FRACTION: f64 = 0.7;
/// Part of the allowed constant that all daemons use together.
const EXTRA_FRACTION: f64 = 0.7;

/// Bounds of the budget, over all daemons and any window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Resends for each request.
    pub ratio: f64,
    /// Resends beyond that.
    pub extra: f64,
    /// Length of a window.
    pub window: Duration,
}

/// The requests and resends of one service at this daemon in the last window.
#[derive(Debug, Default)]
pub struct Budget {
    requests: VecDeque<Moment>,
    resends: VecDeque<Moment>,
}

impl Budget {
    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: Moment, bounds: &Bounds) {
        self.requests.push_back(now);
        expire(&mut self.requests, now, bounds.window);
    }

    /// Takes one resend; returns false when none is left. `daemons` share the constant part.
    pub fn withdraw(&mut self, now: Moment, bounds: &Bounds, daemons: usize) -> bool {
        expire(&mut self.requests, now, bounds.window);
        expire(&mut self.resends, now, bounds.window);
        let share = bounds.extra * EXTRA_FRACTION / daemons.max(1) as f64;
        let allowed = self.requests.len() as f64 * bounds.ratio * RATIO_FRACTION + share;
        if self.resends.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.resends.push_back(now);
        true
    }
}

fn expire(times: &mut VecDeque<Moment>, now: Moment, window: Duration) {
    while times.front().is_some_and(|at| now.since(*at) > window) {
        times.pop_front();
    }
}
