//! The clock of a process.

use kumquattiller_base::time::Moment;
use tokio::time::Instant;

/// Turns the runtime's clock, which tests can pause, into moments.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Returns the present moment.
    pub fn now(&self) -> Moment {
        Moment::ZERO + self.start.elapsed()
    }

    /// Returns the instant of a moment, to wait for it.
    pub fn instant(&self, moment: Moment) -> Instant {
        self.start + moment.since(Moment::ZERO)
    }
}
