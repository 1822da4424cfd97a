use kumquattiller_base::request::Key;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of shards.
///
/// All daemons must use the same number, because a key in two shards could be claimed twice.
/// Changing it therefore needs a release that reads both layouts for
/// [`RETENTION`](super::RETENTION).
pub const COUNT: u16 = 64;

/// Identifies a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Number(u16);

impl Number {
    /// Returns the shard of a key.
    pub fn of(key: &Key) -> Self {
        let account_hash = xxh3_64_with_seed(key.account().as_str().as_bytes(), 0);
        let hash = xxh3_64_with_seed(key.text().as_bytes(), account_hash);
        Self((hash % u64::from(COUNT)) as u16)
    }

    /// Returns the number as an integer.
    pub const fn get(self) -> u16 {
        self.0
    }
}

impl std::fmt::Display for Number {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl std::str::FromStr for Number {
    type Err = std::num::ParseIntError;

    /// Parses a decimal number.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not an integer in range.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}
