use std::time::Duration;

use kumquattiller_base::time::Moment;

/// Time over which the rate of long work is averaged: long prompts are few and uneven.
const LONG_SPAN: Duration = Duration::from_millis(2_500);
/// Time over which the rate of short streams is averaged.
const SHORT_SPAN: Duration = Duration::from_millis(700);

/// What callers ask of a service, as rates.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Demand {
    /// Reading of long prompts, in milliseconds a second.
    pub long_ms: f64,
    /// Streams with short pauses a second.
    pub short: f64,
}

impl std::ops::Add for Demand {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self { long_ms: self.long_ms + other.long_ms, short: self.short + other.short }
    }
}

/// Averages the demand that comes to this daemon.
#[derive(Debug, Default)]
pub struct Meter {
    demand: Demand,
    at: Moment,
}

impl Meter {
    /// Counts a request with this much reading.
    pub fn count(&mut self, long_ms: f64, short: bool, now: Moment) {
        self.demand = self.read(now);
        self.at = now;
        self.demand.long_ms += long_ms / LONG_SPAN.as_secs_f64();
        self.demand.short += f64::from(u8::from(short)) / SHORT_SPAN.as_secs_f64();
    }

    /// Returns the present rates.
    pub fn read(&self, now: Moment) -> Demand {
        let since = now.since(self.at).as_secs_f64();
        let left = |span: Duration| (-since / span.as_secs_f64()).exp();
        Demand {
            long_ms: self.demand.long_ms * left(LONG_SPAN),
            short: self.demand.short * left(SHORT_SPAN),
        }
    }
}
