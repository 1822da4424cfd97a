/// Version of a configuration; a later one has a higher number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version(u64);

impl Version {
    /// Wraps a plain number.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the plain number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl std::fmt::Display for Version {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl std::str::FromStr for Version {
    type Err = std::num::ParseIntError;

    /// Reads the number.
    ///
    /// # Errors
    ///
    /// Fails when the text is not a whole number in range.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}
