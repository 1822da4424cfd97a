//! The routing decision of an entry daemon.

mod baseline;
mod cost;

use std::time::Duration;

use kumquattiller_base::error::Kind;
use kumquattiller_base::time::Moment;
use rand::Rng;

use crate::choice::Choice;
use crate::pace::Pace;
use crate::policy::Policy;
use crate::request::Request;
use crate::table::Runner;
use crate::table::Table;

/// When to try again while every runner is unreachable or leaving.
const NO_RUNNER_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Picks runners of one service.
#[derive(Debug, Clone)]
pub struct Router {
    policy: Policy,
    pace: Pace,
    turn: usize,
}

/// Why no runner was picked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The error kind for the caller.
    pub kind: Kind,
    /// When trying again makes sense.
    pub retry_after: Duration,
}

impl Router {
    /// Makes a router.
    pub const fn new(policy: Policy, pace: Pace) -> Self {
        Self { policy, pace, turn: 0 }
    }

    /// Returns the policy.
    pub const fn policy(&self) -> Policy {
        self.policy
    }

    /// Picks a runner for one attempt.
    ///
    /// # Errors
    ///
    /// Fails with [`Kind::NoRunner`] when no runner is open that was not tried before.
    pub fn choose<R: Rng>(
        &mut self,
        table: &Table,
        request: &Request<'_>,
        now: Moment,
        rng: &mut R,
    ) -> Result<Choice, Refusal> {
        let _ = now;
        let choice = match self.policy {
            Policy::RoundRobin => self.by_turn(table, request),
            Policy::LeastOutstanding => baseline::least_outstanding(table, request, rng),
            Policy::TwoChoices => baseline::two_choices(table, request, rng),
            Policy::KumquattillerV1 | Policy::Kumquattiller => {
                cost::lowest(table, request, &self.pace, rng)
            }
        };
        choice.ok_or(Refusal { kind: Kind::NoRunner, retry_after: NO_RUNNER_RETRY_AFTER })
    }

    fn by_turn(&mut self, table: &Table, request: &Request<'_>) -> Option<Choice> {
        let (choice, next) = baseline::by_turn(table, request, self.turn)?;
        self.turn = next;
        Some(choice)
    }
}

/// Tells whether a runner may get this request.
fn is_candidate(runner: &Runner, request: &Request<'_>) -> bool {
    runner.is_open() && !request.tried.contains(&runner.id)
}
