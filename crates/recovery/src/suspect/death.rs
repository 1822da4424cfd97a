use kumquattiller_base::fingerprint::Fingerprint;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Identifies the death of one engine, the same for all that hear of it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct Id(u64);

impl Id {
    /// Computes the id of the `count`-th death that one start of a runner process saw.
    pub fn of(runner: &str, incarnation: u64, count: u64) -> Self {
        Self(xxh3_64_with_seed(runner.as_bytes(), incarnation.wrapping_add(count)))
    }

    /// Wraps an id that came over a link.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the plain number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// An engine's death and what it was running.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Death {
    /// The death.
    pub id: Id,
    /// The requests that the engine was running.
    pub running: Vec<Involved>,
}

/// A request that was running when an engine died.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Involved {
    /// The request.
    pub fingerprint: Fingerprint,
    /// It ran as a suspect, apart from others, so the death confirms it.
    pub suspect: bool,
}
