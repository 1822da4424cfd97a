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

/// Retry delay while every runner is unreachable or draining.
const NO_RUNNER_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Weight of the delay that a request causes to other requests.
const DELAY_TO_OTHERS_WEIGHT: f64 = 0.4;

/// Weight of the delay that a request causes to other requests, under [`Policy::KumquattillerV1`].
const DELAY_TO_OTHERS_WEIGHT_V1: f64 = 0.125;

/// Penalty of a short prompt on an engine dedicated to long ones, relative to its decode time.
const SHORT_PENALTY: f64 = 1.0;

/// Penalty of a long prompt on any other engine, relative to its service time when idle.
const LONG_PENALTY: f64 = 0.5;

/// Picks runners for the requests of one service.
#[derive(Debug, Clone)]
pub struct Router {
    policy: Policy,
    pace: Pace,
    next_slot: usize,
    meter: Meter,
    prefixes: Index,
}

/// Refusal of a request for which no runner was picked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The error kind for the caller.
    pub kind: Kind,
    /// Retry delay for the caller.
    pub retry_after: Duration,
}

impl Router {
    /// Creates a router without recorded work or prefixes.
    pub fn new(policy: Policy, pace: Pace) -> Self {
        Self { policy, pace, next_slot: 0, meter: Meter::default(), prefixes: Index::default() }
    }

    /// Returns the policy by which runners are picked.
    pub const fn policy(&self) -> Policy {
        self.policy
    }

    /// Returns the index of cached prefixes, to record evictions and gaps in it.
    pub const fn prefixes_mut(&mut self) -> &mut Index {
        &mut self.prefixes
    }

    /// Returns the current division of a table's engines by prompt size.
    pub fn division(&self, table: &Table) -> Division {
        self.meter.division(table.len())
    }

    /// Picks a runner for one attempt.
    ///
    /// # Errors
    ///
    /// Fails with [`Kind::NoRunner`] when there is no open runner that was not tried before.
    pub fn choose<R: Rng>(
        &mut self,
        table: &Table,
        request: &Request<'_>,
        now: Moment,
        rng: &mut R,
    ) -> Result<Choice, Refusal> {
        let choice = match self.policy {
            Policy::RoundRobin => self.round_robin(table, request),
            Policy::LeastOutstanding => baseline::least_outstanding(table, request, rng),
            Policy::TwoChoices => baseline::two_choices(table, request, rng),
            _ => {
                self.observe(table, request, now);
                let weights = self.weights(table.len());
                let cached_prefix = self.cached_prefix(table, request);
                let choice =
                    cost::pick_lowest(table, request, &self.pace, &weights, cached_prefix, rng);
                if let Some(choice) = &choice {
                    self.prefixes.record(&choice.runner, request.prefix_hashes, now);
                }
                choice
            }
        };
        choice.ok_or(Refusal { kind: Kind::NoRunner, retry_after: NO_RUNNER_RETRY_AFTER })
    }

    /// Adds the work of a request to the meter, on its first attempt only. The work is its service
    /// time, scaled by the share of an engine's memory that it takes.
    fn observe(&mut self, table: &Table, request: &Request<'_>, now: Moment) {
        let capacity = table.runners().first().map_or(0, |r| r.load.capacity.get());
        if !request.tried.is_empty() || capacity == 0 {
            return;
        }
        let service_time = self.pace.service_time(request.prompt, request.max_response);
        let work = service_time.mul_f64(request.footprint().get() as f64 / capacity as f64);
        self.meter.observe(request.prompt, work, now);
    }

    /// Returns the slot that probably has the longest prefix of the prompt cached, and its length.
    fn cached_prefix(&self, table: &Table, request: &Request<'_>) -> Option<(usize, Tokens)> {
        if matches!(self.policy, Policy::KumquattillerV1 | Policy::KumquattillerV2) {
            return None;
        }
        let (runner, tokens) = self.prefixes.holder(request.prefix_hashes)?;
        Some((table.slot(runner)?, tokens.min(request.prompt)))
    }

    fn weights(&self, engines: usize) -> Weights {
        let undivided = Division { long_engines: 0, cutoff: Tokens::MAX };
        match self.policy {
            Policy::KumquattillerV1 => Weights {
                delay_to_others: DELAY_TO_OTHERS_WEIGHT_V1,
                division: undivided,
                short_penalty: 0.0,
                long_penalty: 0.0,
            },
            _ => Weights {
                delay_to_others: DELAY_TO_OTHERS_WEIGHT,
                division: self.meter.division(engines),
                short_penalty: SHORT_PENALTY,
                long_penalty: LONG_PENALTY,
            },
        }
    }

    fn round_robin(&mut self, table: &Table, request: &Request<'_>) -> Option<Choice> {
        let (choice, next) = baseline::round_robin(table, request, self.next_slot)?;
        self.next_slot = next;
        Some(choice)
    }
}

/// Returns whether the request may be sent to a runner.
fn is_candidate(runner: &Runner, request: &Request<'_>) -> bool {
    runner.is_open() && !request.tried.contains(&runner.id)
}
