//! The retry budget that all daemons share.
//!
//! The number of retries is limited in any time window, over all daemons together. Each daemon only
//! counts its own requests and retries and stays within its share of the limit.
//!
//! The constant allowance is divided between all daemons that are or were known, whether or not they
//! are heard now: one that is cut off goes on using its share. A daemon that does not know the others
//! yet has one retry, and one that has just started has a smaller share, since it does not know what it
//! sent before in the same window. Both shares together are within the allowance, also if all daemons
//! restart at once, twice in a window.

use std::collections::VecDeque;
use std::time::Duration;

use kumquattiller_base::time::Moment;

/// Fraction of the allowed ratio that a daemon uses, as a safety margin.
const RATIO_FRACTION: f64 = 0.7;
/// Fraction of the constant allowance that all daemons use together.
const EXTRA_FRACTION: f64 = 0.5;
/// Fraction of the constant allowance that they use if all of them have just started.
const START_FRACTION: f64 = 0.2;

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

/// One daemon's part of the constant allowance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// Number of daemons that may use a part.
    pub daemons: usize,
    /// For how long this daemon has known the others; `None` if it does not know them yet.
    pub known_for: Option<Duration>,
}

impl Share {
    /// Returns the number of retries that the daemon may make in a window beyond its ratio.
    fn allowance(self, bounds: &Bounds) -> f64 {
        let divided = |fraction: f64| bounds.extra * fraction / self.daemons.max(1) as f64;
        match self.known_for {
            None => divided(START_FRACTION).min(1.0),
            Some(time) if time < bounds.window => divided(START_FRACTION),
            Some(_) => divided(EXTRA_FRACTION),
        }
    }
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

    /// Takes one retry from the budget; returns false if the budget is exhausted. `share` is this
    /// daemon's part of the constant allowance.
    pub fn withdraw(&mut self, now: Moment, bounds: &Bounds, share: Share) -> bool {
        expire(&mut self.requests, now, bounds.window);
        expire(&mut self.retries, now, bounds.window);
        let by_requests = self.requests.len() as f64 * bounds.ratio * RATIO_FRACTION;
        let allowed = by_requests + share.allowance(bounds);
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
