use uuid::Uuid;

/// Identifies a request through all its attempts.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct Id(Uuid);

impl Id {
    /// Creates the id from a number, which the caller of this function has to draw at random.
    pub const fn from_u128(value: u128) -> Self {
        Self(Uuid::from_u128(value))
    }

    /// Returns the id as a plain number.
    pub const fn as_u128(self) -> u128 {
        self.0.as_u128()
    }
}

impl std::fmt::Display for Id {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0.simple())
    }
}

impl std::str::FromStr for Id {
    type Err = uuid::Error;

    /// Parses a UUID with or without hyphens.
    ///
    /// # Errors
    ///
    /// Fails when the text is not a UUID.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Uuid::parse_str(text).map(Self)
    }
}
