use std::time::Duration;

use kumquattiller_base::deadline::Deadline;
use kumquattiller_base::time::Moment;
use rand::Rng;
use rand::RngExt;

use crate::retry::Budget;

/// Maximum number of runners on which one request is attempted.
pub const MAX_RUNNERS: u32 = 3;
/// Upper bound of the backoff after the first lost attempt.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
/// Upper bound of the backoff after any lost attempt.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Tracks the attempts of one request and decides on the next.
#[derive(Debug, Default)]
pub struct Plan {
    attempts: u32,
    lost_attempts: u32,
}

/// Whether a request is attempted again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Decision {
    /// The request is attempted again.
    Retry {
        /// Time to wait before the next attempt.
        after: Duration,
    },
    /// The request was attempted on [`MAX_RUNNERS`] runners.
    TriedEnough,
    /// The deadline has passed or would pass during the backoff.
    OutOfTime,
    /// The retry budget of the daemon is exhausted.
    OutOfBudget,
}

impl Plan {
    /// Decides whether to retry after a runner refused an attempt.
    ///
    /// A refused attempt did no work, so its retry neither waits nor draws on the budget.
    pub fn after_refusal(&mut self, now: Moment, deadline: Deadline) -> Decision {
        self.attempts += 1;
        self.stop_reason(now, deadline).unwrap_or(Decision::Retry { after: Duration::ZERO })
    }

    /// Decides whether to retry after an attempt was lost and may have run.
    ///
    /// The backoff is uniformly random between zero and a bound that doubles with each lost attempt
    /// (full jitter), so that requests lost at the same time are not retried at the same time.
    pub fn after_loss(
        &mut self,
        now: Moment,
        deadline: Deadline,
        budget: &mut Budget,
        rng: &mut impl Rng,
    ) -> Decision {
        self.attempts += 1;
        if let Some(decision) = self.stop_reason(now, deadline) {
            return decision;
        }
        let max_backoff =
            INITIAL_BACKOFF.saturating_mul(1 << self.lost_attempts.min(16)).min(MAX_BACKOFF);
        self.lost_attempts += 1;
        let after = Duration::from_micros(rng.random_range(0..=max_backoff.as_micros() as u64));
        if after >= deadline.remaining(now) {
            return Decision::OutOfTime;
        }
        if !budget.withdraw() {
            return Decision::OutOfBudget;
        }
        Decision::Retry { after }
    }

    /// Returns the reason for making no further attempt, if there is one.
    fn stop_reason(&self, now: Moment, deadline: Deadline) -> Option<Decision> {
        if deadline.is_over(now) {
            return Some(Decision::OutOfTime);
        }
        (self.attempts >= MAX_RUNNERS).then_some(Decision::TriedEnough)
    }
}
