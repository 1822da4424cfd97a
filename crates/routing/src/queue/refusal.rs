use std::time::Duration;

/// The refusal of a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// After which time the caller is expected to be served.
    pub retry_after: Duration,
    /// Whether capacity is held for its return.
    pub promised: bool,
}
