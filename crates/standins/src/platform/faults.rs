use std::time::Duration;

/// The injected faults.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Faults {
    /// Whether every call is answered with 503.
    pub(super) outage: bool,
    /// Extra latency of every call.
    pub(super) slowness: Duration,
    /// Number of upcoming writes whose responses are dropped.
    pub(super) lost_answers: u32,
}
