use serde::Deserialize;
use serde::Serialize;

/// Number of a lease; each acquisition has a higher one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Fencing(u64);

impl Fencing {
    /// Wraps a plain number.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the plain number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the number of the next acquisition.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl std::fmt::Display for Fencing {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl std::str::FromStr for Fencing {
    type Err = std::num::ParseIntError;

    /// Reads a whole number.
    ///
    /// # Errors
    ///
    /// Fails when the text is not a whole number.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}
