//! Detects that the process did not run for a while.
//!
//! A VM may be suspended, or the process stopped. What arrived meanwhile is older than it looks
//! when it is read, and the copies of the store have aged without the process noticing: the steady
//! clock does not count the time of a suspended VM. The time of day does, but it may also jump; a
//! jump forward is taken for a pause, which costs no more than a question to the store.

use std::time::Duration;
use std::time::SystemTime;

use tokio::time::Instant;

/// Shortest time between two checks that counts as a pause. The detector has to be checked several
/// times in this time.
pub const MIN_PAUSE: Duration = Duration::from_secs(1);

/// Detects pauses from the time between two checks.
#[derive(Debug, Clone, Copy)]
pub struct Detector {
    steady: Instant,
    wall: SystemTime,
}

impl Detector {
    /// Creates a detector that is first checked at these times.
    pub const fn new(steady: Instant, wall: SystemTime) -> Self {
        Self { steady, wall }
    }

    /// Returns the time since the last check if it was long enough to count as a pause: by the clock
    /// that counts more of it.
    pub fn check(&mut self, steady: Instant, wall: SystemTime) -> Option<Duration> {
        let steady_time = steady.saturating_duration_since(self.steady);
        let wall_time = wall.duration_since(self.wall).unwrap_or_default();
        *self = Self { steady, wall };
        let time = steady_time.max(wall_time);
        (time >= MIN_PAUSE).then_some(time)
    }
}
