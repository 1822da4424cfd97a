use std::time::Duration;

use kumquattiller_base::time::Moment;

/// A point in time that processes share, in milliseconds since the Unix epoch.
///
/// Clocks of VMs differ; a decision that compares the timestamps of two processes allows for it.
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
    /// Wraps milliseconds since the Unix epoch.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the milliseconds since the Unix epoch.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the time from `earlier` to `self`, or zero when `earlier` is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl std::ops::Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span.as_millis() as u64))
    }
}

impl std::fmt::Display for Timestamp {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

impl std::str::FromStr for Timestamp {
    type Err = std::num::ParseIntError;

    /// Reads milliseconds, with or without the unit.
    ///
    /// # Errors
    ///
    /// Fails when the text is not a whole number in range.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.strip_suffix("ms").unwrap_or(text).trim().parse().map(Self)
    }
}

/// The present on both clocks of a process.
#[derive(Debug, Clone, Copy)]
pub struct Now {
    /// The process's monotonic clock.
    pub moment: Moment,
    /// The shared clock.
    pub wall: Timestamp,
}
