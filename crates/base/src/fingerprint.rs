//! Fingerprints of requests, which are equal at all entry daemons.

use xxhash_rust::xxh3::xxh3_128_with_seed;

use crate::account;

/// Seed of the hashes of prompt parts, which keeps them apart from those of requests.
const PROMPT_PART_SEED: u64 = 1;

/// Hash of a request's client account, path and body.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Computes the fingerprint of a request.
    pub fn of(account: &account::Id, path: &str, body: &[u8]) -> Self {
        let account_hash = xxh3_128_with_seed(account.as_str().as_bytes(), 0) as u64;
        let path_hash = xxh3_128_with_seed(path.as_bytes(), account_hash) as u64;
        Self(xxh3_128_with_seed(body, path_hash))
    }

    /// Computes the fingerprint of a part of prompts from its id.
    pub fn of_prompt_part(id: &str) -> Self {
        Self(xxh3_128_with_seed(id.as_bytes(), PROMPT_PART_SEED))
    }

    /// Creates a fingerprint from a number, such as one received over a link.
    pub const fn new(value: u128) -> Self {
        Self(value)
    }

    /// Returns the fingerprint as a plain number.
    pub const fn get(self) -> u128 {
        self.0
    }
}

impl std::fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl std::str::FromStr for Fingerprint {
    type Err = std::num::ParseIntError;

    /// Parses a hexadecimal number, as `Display` writes it.
    ///
    /// # Errors
    ///
    /// Fails when the text is not a hexadecimal number.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}
