use std::time::Duration;

/// Whether a process may act on its configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// The process has no configuration yet.
    Empty,
    /// The last confirmation is too old, or too few sources have confirmed since the start.
    Stale {
        /// Time since the request of the latest confirmation was sent; `Duration::MAX` when there
        /// is no confirmation.
        age: Duration,
    },
    /// A source has reported a higher version that has not arrived yet.
    Behind,
    /// The configuration is confirmed and has the highest version that any source reported.
    Fresh,
}

impl State {
    /// Returns whether the process may accept new requests.
    ///
    /// A process that is behind still accepts requests: the newer version is being fetched, and a
    /// source confirmed the current one within the freshness limit
    /// [`FRESHNESS_LIMIT`](crate::replica::FRESHNESS_LIMIT).
    pub const fn is_ready(self) -> bool {
        matches!(self, Self::Fresh | Self::Behind)
    }
}
