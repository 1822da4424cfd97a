use std::time::Duration;

use kumquattiller_base::deadline::Deadline;
use kumquattiller_base::time::Moment;
use rand::Rng;
use rand::RngExt;

use crate::retry::Budget;

/// Most runners that one request is tried on.
pub const MAX_RUNNERS: u32 = 3;
/// Upper end of the first pause.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
/// Upper end of the longest pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

/// The retries of one request.
#[derive(Debug, Default)]
pub struct Plan {
    attempts: u32,
    lost: u32,
}

/// Whether another attempt is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Decision {
    /// After this pause.
    Retry {
        /// The pause.
        after: Duration,
    },
    /// No: enough runners were tried.
    TriedEnough,
    /// No: the deadline leaves no time.
    OutOfTime,
    /// No: the daemon's budget is used up.
    OutOfBudget,
}

impl Plan {
    /// Decides after an attempt that its runner refused; it cost no work, so it costs no budget.
    pub fn refused(&mut self, now: Moment, deadline: Deadline) -> Decision {
        self.attempts += 1;
        self.check(now, deadline).unwrap_or(Decision::Retry { after: Duration::ZERO })
    }

    /// Decides after an attempt that was lost and may have run.
    ///
    /// The pause is drawn evenly from zero to a limit that doubles, so that requests which were
    /// lost together do not come back together.
    pub fn lost(
        &mut self,
        now: Moment,
        deadline: Deadline,
        budget: &mut Budget,
        rng: &mut impl Rng,
    ) -> Decision {
        self.attempts += 1;
        if let Some(decision) = self.check(now, deadline) {
            return decision;
        }
        let limit = FIRST_PAUSE.saturating_mul(1 << self.lost.min(16)).min(LONGEST_PAUSE);
        self.lost += 1;
        let after = Duration::from_micros(rng.random_range(0..=limit.as_micros() as u64));
        if after >= deadline.remaining(now) {
            return Decision::OutOfTime;
        }
        if !budget.withdraw() {
            return Decision::OutOfBudget;
        }
        Decision::Retry { after }
    }

    /// Returns why no further attempt is made, if so.
    fn check(&self, now: Moment, deadline: Deadline) -> Option<Decision> {
        if deadline.is_over(now) {
            return Some(Decision::OutOfTime);
        }
        (self.attempts >= MAX_RUNNERS).then_some(Decision::TriedEnough)
    }
}
