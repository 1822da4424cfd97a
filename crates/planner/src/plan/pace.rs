use std::collections::VecDeque;
use std::time::Duration;

use kumquattiller_base::time::Moment;

/// Span over which loads are counted.
const WINDOW: Duration = Duration::from_secs(60);

/// Loads from the weight store in the last minute.
#[derive(Debug, Clone)]
pub struct Pace {
    per_minute: usize,
    taken: VecDeque<Moment>,
}

impl Pace {
    /// Begins with nothing taken, for the first holder of all.
    pub const fn fresh(per_minute: u32) -> Self {
        Self { per_minute: per_minute as usize, taken: VecDeque::new() }
    }

    /// Begins with the whole minute taken, as a former holder may have taken it.
    pub fn spent(per_minute: u32, now: Moment) -> Self {
        let per_minute = per_minute as usize;
        Self { per_minute, taken: std::iter::repeat_n(now, per_minute).collect() }
    }

    /// Changes the limit.
    pub const fn set_limit(&mut self, per_minute: u32) {
        self.per_minute = per_minute as usize;
    }

    /// Takes `loads`, wholly or not at all; more than a minute's worth is taken at once when
    /// the minute is empty.
    pub fn take(&mut self, loads: usize, now: Moment) -> bool {
        while self.taken.front().is_some_and(|at| now.since(*at) >= WINDOW) {
            self.taken.pop_front();
        }
        let fits = self.taken.len() + loads <= self.per_minute;
        let over_a_minute = self.taken.is_empty() && self.per_minute > 0;
        if !fits && !over_a_minute {
            return false;
        }
        self.taken.extend(std::iter::repeat_n(now, loads));
        true
    }
}
