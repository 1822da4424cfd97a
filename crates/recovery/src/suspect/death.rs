//! Deaths of engines and the requests involved in them.

use kumquattiller_base::fingerprint::Fingerprint;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Identifies the death of an engine; all reports of one death carry the same ID.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct Id(u64);

impl Id {
    /// Computes the ID of the `count`-th death observed by one incarnation of a runner process.
    pub fn of(runner: &str, incarnation: u64, count: u64) -> Self {
        Self(xxh3_64_with_seed(runner.as_bytes(), incarnation.wrapping_add(count)))
    }

    /// Creates an ID from its number, as received over a link.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the ID as a number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// The death of an engine and the requests that were running on it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Death {
    /// ID of the death.
    pub id: Id,
    /// Requests that were running on the engine.
    pub running: Vec<Involved>,
}

/// A request that was running when an engine died.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Involved {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Whether it ran as the only suspect on its engine, so that the death confirms it as the cause.
    pub suspect: bool,
}
