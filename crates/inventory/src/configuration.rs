//! Accepted configurations and their versions.

use serde::Deserialize;
use serde::Serialize;

use crate::register::Register;
use crate::rules::Rules;

/// Version of an accepted configuration; increases by 1 with each one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(u64);

impl Version {
    /// The version before any configuration has been accepted.
    pub const NONE: Self = Self(0);

    /// Creates a version from its number.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the version as a number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the next version.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl std::fmt::Display for Version {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl std::str::FromStr for Version {
    type Err = std::num::ParseIntError;

    /// Parses a decimal number.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not an unsigned decimal number.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// A register and rules that were accepted together.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Version; increases with each accepted change.
    pub version: Version,
    /// What the operators have.
    pub register: Register,
    /// How the register is to be used.
    pub rules: Rules,
}
