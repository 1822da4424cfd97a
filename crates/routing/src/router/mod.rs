//! The routing decision of an entry daemon.

mod baseline;
mod cost;

use std::time::Duration;

use kumquattiller_base::error::Kind;
use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;
use rand::Rng;

use crate::choice::Choice;
use crate::interval::Division;
use crate::interval::Meter;
use crate::pace::Pace;
use crate::policy::Policy;
use crate::prefix::Index;
use crate::request::Request;
use crate::router::cost::Weights;
use crate::table::Runner;
use crate::table::Table;

/// When to try again while every runner is unreachable or leaving.
const NO_RUNNER_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Share of the delay caused to others that counts.
const CAUSED_SHARE: f64 = 0.4;

/// Share of the delay caused to others that counts in the first version.
const CAUSED_SHARE_V1: f64 = 0.125;

/// Cost of a short prompt on an engine set aside for long ones, as a share of its decoding.
const SHORT_TOLL: f64 = 1.0;

/// Cost of a long prompt on another engine, as a share of its time on an idle engine.
const LONG_TOLL: f64 = 0.5;

/// Picks runners of one service.
#[derive(Debug, Clone)]
pub struct Router {
    policy: Policy,
    pace: Pace,
    turn: usize,
    meter: Meter,
    prefixes: Index,
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
    pub fn new(policy: Policy, pace: Pace) -> Self {
        Self { policy, pace, turn: 0, meter: Meter::default(), prefixes: Index::default() }
    }

    /// Returns the policy.
    pub const fn policy(&self) -> Policy {
        self.policy
    }

    /// Returns the index of cached prefixes, for reports of evictions and gaps.
    pub const fn prefixes_mut(&mut self) -> &mut Index {
        &mut self.prefixes
    }

    /// Returns the present division of a table's engines by prompt size.
    pub fn division(&self, table: &Table) -> Division {
        self.meter.division(table.len())
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
        let choice = match self.policy {
            Policy::RoundRobin => self.by_turn(table, request),
            Policy::LeastOutstanding => baseline::least_outstanding(table, request, rng),
            Policy::TwoChoices => baseline::two_choices(table, request, rng),
            _ => {
                self.observe(table, request, now);
                let weights = self.weights(table.len());
                let prefix = self.prefix(table, request);
                let choice = cost::lowest(table, request, &self.pace, &weights, prefix, rng);
                if let Some(choice) = &choice {
                    self.prefixes.learn(&choice.runner, request.blocks);
                }
                choice
            }
        };
        choice.ok_or(Refusal { kind: Kind::NoRunner, retry_after: NO_RUNNER_RETRY_AFTER })
    }

    /// Adds the work of a request's first attempt to the meter.
    fn observe(&mut self, table: &Table, request: &Request<'_>, now: Moment) {
        let capacity = table.runners().first().map_or(0, |r| r.load.capacity.get());
        if !request.tried.is_empty() || capacity == 0 {
            return;
        }
        let time = self.pace.service_time(request.prompt, request.answer);
        let memory = time.mul_f64(request.footprint().get() as f64 / capacity as f64);
        self.meter.observe(request.prompt, memory, now);
    }

    /// Returns the slot believed to have most of the prompt cached, and the tokens.
    fn prefix(&self, table: &Table, request: &Request<'_>) -> Option<(usize, Tokens)> {
        if matches!(self.policy, Policy::KumquattillerV1 | Policy::KumquattillerV2) {
            return None;
        }
        let (runner, tokens) = self.prefixes.holder(request.blocks)?;
        Some((table.slot(runner)?, tokens.min(request.prompt)))
    }

    fn weights(&self, engines: usize) -> Weights {
        let undivided = Division { long_engines: 0, cutoff: Tokens::MAX };
        match self.policy {
            Policy::KumquattillerV1 => Weights {
                caused: CAUSED_SHARE_V1,
                division: undivided,
                short_toll: 0.0,
                long_toll: 0.0,
            },
            _ => Weights {
                caused: CAUSED_SHARE,
                division: self.meter.division(engines),
                short_toll: SHORT_TOLL,
                long_toll: LONG_TOLL,
            },
        }
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
