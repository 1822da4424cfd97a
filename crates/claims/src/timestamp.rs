use std::time::Duration;

use kumquattiller_base::time::Moment;

/// Wall-clock time in milliseconds since the Unix epoch, comparable between processes.
///
/// The clocks of VMs differ, so code that compares the timestamps of two processes must tolerate
/// that difference.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(u64);

impl Timestamp {
    /// Creates a timestamp from milliseconds since the Unix epoch.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the milliseconds since the Unix epoch.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the time from `earlier` to `self`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl std::ops::Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration.as_millis() as u64))
    }
}

impl std::fmt::Display for Timestamp {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

impl std::str::FromStr for Timestamp {
    type Err = std::num::ParseIntError;

    /// Parses milliseconds, with or without the suffix `ms`.
    ///
    /// # Errors
    ///
    /// Returns an error if the number is not an integer in range.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.strip_suffix("ms").unwrap_or(text).trim().parse().map(Self)
    }
}

/// The current time on the monotonic clock and on the wall clock.
#[derive(Debug, Clone, Copy)]
pub struct Now {
    /// The time on the process's monotonic clock.
    pub moment: Moment,
    /// The wall-clock time.
    pub wall: Timestamp,
}
