use std::time::Duration;

use kumquattiller_base::time::Moment;

/// Time constant for averaging the prefill work of long prompts. It is longer than that of short
/// streams because long prompts are few and vary in size.
const LONG_TIME_CONSTANT: Duration = Duration::from_millis(2_500);
/// Time constant for averaging the rate of short streams.
const SHORT_TIME_CONSTANT: Duration = Duration::from_millis(700);

/// Rates at which callers send work to this daemon or to all daemons.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Demand {
    /// Prefill work of long prompts, in milliseconds per second.
    pub long_ms_per_s: f64,
    /// Number of short prompts per second.
    pub short_per_s: f64,
}

impl std::ops::Add for Demand {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            long_ms_per_s: self.long_ms_per_s + other.long_ms_per_s,
            short_per_s: self.short_per_s + other.short_per_s,
        }
    }
}

/// Measures the demand of this daemon as exponentially weighted averages.
#[derive(Debug, Default)]
pub struct Meter {
    demand: Demand,
    updated_at: Moment,
}

impl Meter {
    /// Counts a request: `long_ms` is its prefill work if it is long, and `short` whether it is
    /// short.
    pub fn record(&mut self, long_ms: f64, short: bool, now: Moment) {
        self.demand = self.rates(now);
        self.updated_at = now;
        self.demand.long_ms_per_s += long_ms / LONG_TIME_CONSTANT.as_secs_f64();
        self.demand.short_per_s += f64::from(u8::from(short)) / SHORT_TIME_CONSTANT.as_secs_f64();
    }

    /// Returns the current rates.
    pub fn rates(&self, now: Moment) -> Demand {
        let since = now.since(self.updated_at).as_secs_f64();
        let decay = |time_constant: Duration| (-since / time_constant.as_secs_f64()).exp();
        Demand {
            long_ms_per_s: self.demand.long_ms_per_s * decay(LONG_TIME_CONSTANT),
            short_per_s: self.demand.short_per_s * decay(SHORT_TIME_CONSTANT),
        }
    }
}
