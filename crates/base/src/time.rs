//! Points in time, which are passed into decisions instead of reading a clock.

use std::time::Duration;

/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// A point in time, in microseconds since an origin that the process chose.
///
/// Moments of different processes are not comparable, so processes send each other the remaining
/// [`Duration`] instead.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(u64);

impl Moment {
    /// The origin of the process's clock.
    pub const ZERO: Self = Self(0);

    /// Creates a moment from microseconds since the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a moment from milliseconds since the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the seconds since the origin.
    pub fn as_seconds(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND
    }

    /// Returns the time from `earlier` to `self`, or zero when `earlier` is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl std::ops::Add<Duration> for Moment {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration.as_micros() as u64))
    }
}

impl std::ops::Sub<Duration> for Moment {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration.as_micros() as u64))
    }
}

impl std::fmt::Display for Moment {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:.6} s", self.as_seconds())
    }
}
