use std::time::Duration;

/// The fault switches.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Faults {
    /// Every call answers 503.
    pub(super) outage: bool,
    /// What every call takes more.
    pub(super) slowness: Duration,
    /// Writes to come whose answers are lost.
    pub(super) lost_answers: u32,
}
