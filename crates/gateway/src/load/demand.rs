use std::time::Duration;

use kumquattiller_base::time::Moment;

/// Time over which the rate of long work is averaged: long prompts are few and uneven.
const LONG_AVERAGING_TIME: Duration = Duration::from_millis(2_500);
/// Time over which the rate of short streams is averaged.
const SHORT_AVERAGING_TIME: Duration = Duration::from_millis(700);

/// What callers ask of a service, as rates.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Demand {
    /// Reading of long prompts, in milliseconds a second.
    pub long_ms_per_s: f64,
    /// Streams with short pauses a second.
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

/// Averages the demand that comes to this daemon.
#[derive(Debug, Default)]
pub struct Meter {
    demand: Demand,
    updated: Moment,
}

impl Meter {
    /// Counts a request with this much reading.
    pub fn record(&mut self, long_ms: f64, short: bool, now: Moment) {
        self.demand = self.rates(now);
        self.updated = now;
        self.demand.long_ms_per_s += long_ms / LONG_AVERAGING_TIME.as_secs_f64();
        self.demand.short_per_s += f64::from(u8::from(short)) / SHORT_AVERAGING_TIME.as_secs_f64();
    }

    /// Returns the present rates.
    pub fn rates(&self, now: Moment) -> Demand {
        let since = now.since(self.updated).as_secs_f64();
        let decay = |averaging_time: Duration| (-since / averaging_time.as_secs_f64()).exp();
        Demand {
            long_ms_per_s: self.demand.long_ms_per_s * decay(LONG_AVERAGING_TIME),
            short_per_s: self.demand.short_per_s * decay(SHORT_AVERAGING_TIME),
        }
    }
}
