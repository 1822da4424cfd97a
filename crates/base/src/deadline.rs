//! Deadlines of requests.

use std::time::Duration;

use crate::time::Moment;

/// Time kept back from a deadline so that the answer still reaches the caller.
pub const ANSWER_RESERVE: Duration = Duration::from_millis(50);

/// The moment by which a request has its terminal outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Deadline(Moment);

impl Deadline {
    /// Sets a deadline `span` after `now`.
    pub fn after(now: Moment, span: Duration) -> Self {
        Self(now + span)
    }

    /// Returns the moment itself.
    pub const fn moment(self) -> Moment {
        self.0
    }

    /// Returns the time that is left for work, with [`ANSWER_RESERVE`] taken off.
    pub fn left(self, now: Moment) -> Duration {
        self.0.since(now).saturating_sub(ANSWER_RESERVE)
    }

    /// Tells whether no time for work is left.
    pub fn is_over(self, now: Moment) -> bool {
        self.left(now).is_zero()
    }
}
