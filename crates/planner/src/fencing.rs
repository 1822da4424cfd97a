use serde::Deserialize;
use serde::Serialize;

/// Fencing token of a lease; each acquisition of the lease has a higher one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Fencing(u64);

impl Fencing {
    /// Creates a token from its number.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the token as a number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the fencing token of the next acquisition of the lease.
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

    /// Parses a token from a decimal number.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not an unsigned integer.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}
