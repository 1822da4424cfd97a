use std::time::Duration;

/// Whether a process may act on its configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// It has none yet.
    Empty,
    /// No source has confirmed it for too long.
    Stale {
        /// Time since the question of the last confirmation.
        age: Duration,
    },
    /// A source knows of a higher version that has not come yet.
    Behind,
    /// It is the highest version that its sources showed lately.
    Fresh,
}

impl State {
    /// Tells whether the process may take new requests.
    ///
    /// A process that is behind still serves: the newer version is on its way, and a source
    /// confirmed its own within the freshness limit.
    pub const fn is_ready(self) -> bool {
        matches!(self, Self::Fresh | Self::Behind)
    }
}
