//! Deadlines of requests.

use std::time::Duration;

use crate::time::Moment;

/// Time before the deadline that is reserved for sending the answer to the caller.
pub const ANSWER_RESERVE: Duration = Duration::from_millis(50);

/// The moment by which a request must have its terminal outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Deadline(Moment);

impl Deadline {
    /// Creates a deadline `duration` after `now`.
    pub fn after(now: Moment, duration: Duration) -> Self {
        Self(now + duration)
    }

    /// Returns the deadline as a moment.
    pub const fn moment(self) -> Moment {
        self.0
    }

    /// Returns the time left for work, which ends [`ANSWER_RESERVE`] before the deadline.
    pub fn remaining(self, now: Moment) -> Duration {
        self.0.since(now).saturating_sub(ANSWER_RESERVE)
    }

    /// Tells whether no time for work is left.
    pub fn is_over(self, now: Moment) -> bool {
        self.remaining(now).is_zero()
    }
}
