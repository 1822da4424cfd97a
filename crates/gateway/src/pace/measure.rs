use std::time::Duration;

use kumquattiller_base::time::Moment;

/// Time constant with which samples lose their weight.
const TIME_CONSTANT: Duration = Duration::from_secs(5);
/// Largest factor that one sample counts as. Servers that are slower still are avoided as much.
const MAX_FACTOR: f64 = 16.0;
/// Largest weight of a measure from a peer, so that an absurd one does not outweigh all others.
const MAX_WEIGHT: f64 = 100.0;

/// Weighted mean of the logarithms of seen to expected times, at one server.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Measure {
    /// Mean logarithm; 0 where the times were as expected.
    pub log: f64,
    /// Number of samples; older ones count less.
    pub weight: f64,
    /// When the weight was right.
    pub at: Moment,
}

impl Measure {
    /// Creates a measure from a peer's report. Values that are not finite count as none.
    pub fn reported(log: f64, weight: f64, at: Moment) -> Self {
        if !log.is_finite() || !weight.is_finite() {
            return Self::default();
        }
        let most = MAX_FACTOR.ln();
        Self { log: log.clamp(-most, most), weight: weight.clamp(0.0, MAX_WEIGHT), at }
    }

    /// Adds a sample.
    pub(super) fn add(&mut self, expected: Duration, seen: Duration, now: Moment) {
        let factor = seen.as_secs_f64() / expected.as_secs_f64().max(f64::MIN_POSITIVE);
        let log = factor.clamp(1.0 / MAX_FACTOR, MAX_FACTOR).ln();
        let weight = self.weight_at(now);
        self.log = (self.log * weight + log) / (weight + 1.0);
        self.weight = weight + 1.0;
        self.at = now;
    }

    /// Returns the weight that is left of the samples.
    pub(super) fn weight_at(&self, now: Moment) -> f64 {
        self.weight * (-now.since(self.at).as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
    }
}
