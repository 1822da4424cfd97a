use std::collections::VecDeque;
use std::time::Duration;

use kumquattiller_base::time::Moment;

/// Length of the sliding window in which loads are counted.
const WINDOW: Duration = Duration::from_secs(60);

/// Rate limit for loads from the weight store, over a sliding window of one minute.
#[derive(Debug, Clone)]
pub struct Limiter {
    per_minute: usize,
    /// Times of the loads in the window, oldest first.
    recent_loads: VecDeque<Moment>,
}

impl Limiter {
    /// Creates a limiter with an empty window, for the first lease holder ever.
    pub const fn new(per_minute: u32) -> Self {
        Self { per_minute: per_minute as usize, recent_loads: VecDeque::new() }
    }

    /// Creates a limiter with a full window, since a previous lease holder may have used it up.
    pub fn exhausted(per_minute: u32, now: Moment) -> Self {
        let per_minute = per_minute as usize;
        Self { per_minute, recent_loads: std::iter::repeat_n(now, per_minute).collect() }
    }

    /// Changes the limit, in loads per minute.
    pub const fn set_limit(&mut self, per_minute: u32) {
        self.per_minute = per_minute as usize;
    }

    /// Admits `loads` loads, all or none; returns whether they were admitted.
    ///
    /// More loads than the limit are admitted only if the window is empty; otherwise they could
    /// never be admitted.
    pub fn try_acquire(&mut self, loads: usize, now: Moment) -> bool {
        while self.recent_loads.front().is_some_and(|at| now.since(*at) >= WINDOW) {
            self.recent_loads.pop_front();
        }
        let within_limit = self.recent_loads.len() + loads <= self.per_minute;
        let may_exceed_limit = self.recent_loads.is_empty() && self.per_minute > 0;
        if !within_limit && !may_exceed_limit {
            return false;
        }
        self.recent_loads.extend(std::iter::repeat_n(now, loads));
        true
    }
}
