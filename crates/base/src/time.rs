//! Points in time as the decisions see them.

use std::time::Duration;

/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// A point in time, in microseconds since a start that the process chose.
///
/// Moments of different processes are not comparable; what crosses a link is a [`Duration`] that
/// is left.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(u64);

impl Moment {
    /// The start of the process's clock.
    pub const ZERO: Self = Self(0);

    /// Wraps microseconds since the start.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Wraps milliseconds since the start.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the microseconds since the start.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the seconds since the start.
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

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span.as_micros() as u64))
    }
}

impl std::ops::Sub<Duration> for Moment {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span.as_micros() as u64))
    }
}

impl std::fmt::Display for Moment {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:.6} s", self.as_seconds())
    }
}
