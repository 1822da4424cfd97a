use kumquattiller_base::daemon;
use kumquattiller_base::fingerprint::Fingerprint;
use kumquattiller_base::request::Key;
use serde::Deserialize;
use serde::Serialize;

use crate::Outcome;
use crate::Timestamp;

/// Upper bound of the bytes of a record in JSON without its key, the daemon's name and the body
/// of a response.
const FIXED_JSON_BYTES: usize = 420;

/// Identifies one attempt to claim a key; drawn at random by the claiming daemon.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct Attempt(u128);

impl Attempt {
    /// Wraps a random number.
    pub const fn new(value: u128) -> Self {
        Self(value)
    }
}

impl std::fmt::Display for Attempt {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl std::str::FromStr for Attempt {
    type Err = std::num::ParseIntError;

    /// Parses hexadecimal digits; [`Display`](std::fmt::Display) writes 32 of them.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a hexadecimal number of at most 128 bits.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

impl TryFrom<String> for Attempt {
    type Error = std::num::ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<Attempt> for String {
    fn from(attempt: Attempt) -> Self {
        attempt.to_string()
    }
}

/// The claim of a key as it is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Fingerprint of the request that claimed the key.
    #[serde(with = "hexadecimal")]
    pub fingerprint: Fingerprint,
    /// The claiming attempt.
    pub attempt: Attempt,
    /// The daemon that claimed the key.
    pub daemon: daemon::Id,
    /// Which start of that daemon; later starts have higher numbers.
    pub incarnation: daemon::Incarnation,
    /// The deadline of the request, after which it no longer runs.
    pub until: Timestamp,
    /// How the request ended, or `None` while that is not recorded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
}

impl Record {
    /// Returns an upper bound of the bytes that the record and its key take in JSON.
    pub(crate) fn json_bytes_bound(&self, key: &Key) -> usize {
        let key_bytes = 2 * (key.account().as_str().len() + key.text().len());
        let outcome_bytes = self.outcome.as_ref().map_or(0, Outcome::json_bytes_bound);
        FIXED_JSON_BYTES + key_bytes + self.daemon.as_str().len() + outcome_bytes
    }
}

/// Serializes fingerprints as text, because 128-bit numbers lose digits as JSON numbers.
mod hexadecimal {
    use kumquattiller_base::fingerprint::Fingerprint;
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;

    pub fn serialize<S: Serializer>(value: &Fingerprint, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(value)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Fingerprint, D::Error> {
        let text = String::deserialize(from)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
