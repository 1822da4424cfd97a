/// Number of the times that the store was restored from an older copy.
///
/// Revisions of different eras are unrelated: after a restore the store gives out the same numbers
/// again for other changes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Era(u64);

impl Era {
    /// Creates an era from the store's number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the store's number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl std::fmt::Display for Era {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

impl std::str::FromStr for Era {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.trim().parse().map(Self)
    }
}

/// Revision of the store, which rises with each change of any object.
///
/// Revisions are ordered by era first, so that any revision after a restore is later than any
/// before it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision {
    era: Era,
    number: u64,
}

impl Revision {
    /// Creates a revision of the first era from the store's number.
    pub const fn new(number: u64) -> Self {
        Self::of(Era::new(0), number)
    }

    /// Creates a revision of an era from the store's number.
    pub const fn of(era: Era, number: u64) -> Self {
        Self { era, number }
    }

    /// Returns the era.
    pub const fn era(self) -> Era {
        self.era
    }

    /// Returns the store's number, which is unique only within the era.
    pub const fn number(self) -> u64 {
        self.number
    }
}

impl std::fmt::Display for Revision {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.era, self.number)
    }
}

/// Error for a text that is not a revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseError;

impl std::fmt::Display for ParseError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("a revision is two numbers, era and revision, with a slash between them")
    }
}

impl std::str::FromStr for Revision {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (era, number) = text.split_once('/').ok_or(ParseError)?;
        let era = era.parse().map_err(|_| ParseError)?;
        Ok(Self::of(era, number.trim().parse().map_err(|_| ParseError)?))
    }
}
