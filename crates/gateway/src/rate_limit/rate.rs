use std::time::Duration;

/// Lowest rate that is kept. A server that takes no requests could never state that it takes them
/// again.
const MIN_PER_SECOND: f64 = 0.1;

/// A number of requests a second, which may be a fraction.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Rate(f64);

/// Error for a text or number that is no rate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidRate(String);

impl Rate {
    /// Creates a rate from requests a second; lower rates than one request in ten seconds are raised
    /// to that.
    ///
    /// # Errors
    ///
    /// Fails if the number is negative or not finite.
    pub fn new(per_second: f64) -> Result<Self, InvalidRate> {
        if per_second.is_finite() && per_second >= 0.0 {
            return Ok(Self(per_second.max(MIN_PER_SECOND)));
        }
        Err(InvalidRate(per_second.to_string()))
    }

    /// Returns the requests a second.
    pub const fn per_second(self) -> f64 {
        self.0
    }

    /// Returns the share of each of `sharers`.
    pub fn divided_by(self, sharers: usize) -> Self {
        Self(self.0 / sharers.max(1) as f64)
    }

    /// Returns this rate, or a lower one of `most` requests a second.
    pub const fn at_most(self, most: f64) -> Self {
        Self(self.0.min(most))
    }

    /// Returns the number of requests in a time.
    pub fn in_time(self, time: Duration) -> f64 {
        self.0 * time.as_secs_f64()
    }

    /// Returns the time in which a number of requests fits.
    pub fn time_for(self, requests: f64) -> Duration {
        Duration::try_from_secs_f64(requests / self.0).unwrap_or_default()
    }
}

impl std::fmt::Display for Rate {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} requests/s", self.0)
    }
}

impl std::str::FromStr for Rate {
    type Err = InvalidRate;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.trim().trim_end_matches("requests/s").trim_end();
        let per_second: f64 = number.parse().map_err(|_| InvalidRate(text.to_owned()))?;
        Self::new(per_second)
    }
}

impl std::fmt::Display for InvalidRate {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "\"{}\" is not a number of requests a second", self.0)
    }
}

impl std::error::Error for InvalidRate {}
