//! The retry budget that all daemons share.
//!
//! The number of retries is limited in any time window, over all daemons together. Each daemon only
//! counts its own requests and retries and stays within its share of the limit.

use std::collections::VecDeque;
use std::time::Duration;

use kumquattiller_base::time::Moment;

/// Fraction of the allowed ratio that a daemon uses, as a safety margin.
const RATIO_FRACTION: f64 = 0.7;
/// Fraction of the constant allowance that all daemons use together, as a safety margin.
const EXTRA_FRACTION: f64 = 0.7;

/// Limits on retries, over all daemons and in any window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Allowed retries per request.
    pub ratio: f64,
    /// Constant number of retries allowed in addition.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
}

/// The requests and retries of one service at this daemon in the last window.
#[derive(Debug, Default)]
pub struct Budget {
    requests: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

impl Budget {
    /// Counts a request from a caller.
    pub fn record_request(&mut self, now: Moment, bounds: &Bounds) {
        self.requests.push_back(now);
        expire(&mut self.requests, now, bounds.window);
    }

    /// Returns the number of retries in the window.
    pub fn used(&self) -> usize {
        self.retries.len()
    }

    /// Takes one resend from the budget; returns false if the budget is exhausted. The constant
    /// allowance is divided among the number of `daemons`.
    pub fn withdraw(&mut self, now: Moment, bounds: &Bounds, daemons: usize) -> bool {
        expire(&mut self.requests, now, bounds.window);
        expire(&mut self.retries, now, bounds.window);
        let extra_share = bounds.extra * EXTRA_FRACTION / daemons.max(1) as f64;
        let allowed = self.requests.len() as f64 * bounds.ratio * RATIO_FRACTION + extra_share;
        if self.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }
}

fn expire(times: &mut VecDeque<Moment>, now: Moment, window: Duration) {
    while times.front().is_some_and(|at| now.since(*at) > window) {
        times.pop_front();
    }
}
