use kumquattiller_base::time::Moment;
use tokio::time::Instant;

/// Monotonic clock of a process; tests can pause it through tokio.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Returns the current time.
    pub fn now(&self) -> Moment {
        Moment::ZERO + self.start.elapsed()
    }

    /// Converts a moment to a tokio instant, for use with timers.
    pub fn instant(&self, moment: Moment) -> Instant {
        self.start + moment.since(Moment::ZERO)
    }
}
