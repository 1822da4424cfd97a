//! Retry budget, placement and load of requests.

use std::time::Duration;

use kumquattiller_base::runner;
use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;
use log::info;

use crate::Gateway;
use crate::budget;
use crate::dialect::Helper;
use crate::fleet::Server;
use crate::http::Request;
use crate::http::memory_retry_delay;
use crate::load::Assignment;
use crate::load::Demand;
use crate::load::gap_group;
use crate::load::report_interval;
use crate::placement;
use crate::placement::Candidate;
use crate::placement::CostBound;
use crate::placement::Declined;
use crate::placement::Placement;
use crate::placement::Reason;
use crate::placement::first_urgency;
use crate::placement::is_long;
use crate::placement::needs_joint;
use crate::placement::place_plain;
use crate::placement::place_within;
use crate::placement::request_value;
use crate::reservation::Reservations;

impl Gateway {
    /// Counts an admitted request for the retry budget of its service.
    pub fn count_request(&self, request: &Request) {
        self.metrics.admitted();
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(request.service.name.clone()).or_default();
        budget.record_request(self.now(), &self.settings.budget);
        if let (Some(profile), Some(prompt)) = (&request.service.engine, &request.metadata.prompt)
            && !needs_joint(prompt, profile)
        {
            let long = is_long(prompt, profile);
            let long_ms = if long { profile.prefill_ms(prompt.tokens) } else { 0.0 };
            self.ledger.borrow_mut().record_demand(long_ms, !long, self.now());
        }
    }

    /// Adds a prompt to the measured demand if the placement is joint, that is, if its memory is
    /// spread over several servers. Such prompts are counted when they are placed and not on
    /// admission, since most of them may be refused.
    pub fn count_joint_demand(&self, placement: &Placement) {
        if placement.reason == Reason::Joint {
            let long_ms = placement.part_ms * (placement.helpers.len() + 1) as f64;
            self.ledger.borrow_mut().record_demand(long_ms, false, self.now());
        }
    }

    /// Withdraws one retry from the retry budget; returns `false` if the budget is exhausted.
    pub fn withdraw_retry(&self, request: &Request) -> bool {
        let now = self.now();
        let share = self.retry_share(now);
        let daemons = share.daemons;
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(request.service.name.clone()).or_default();
        let allowed = budget.withdraw(now, &self.settings.budget, share);
        let used = budget.used();
        if allowed {
            self.metrics.retried(daemons);
            info!(target: "request", id = request.metadata.id, daemons, used; "retry allowed");
        } else {
            self.metrics.retry_denied(daemons);
            info!(target: "request", id = request.metadata.id, daemons, used; "retry budget exhausted");
        }
        allowed
    }

    /// Returns this daemon's part of the constant allowance of the retry budget.
    fn retry_share(&self, now: Moment) -> budget::Share {
        let roster = self.roster.borrow();
        budget::Share { daemons: roster.daemons(), known_for: roster.known_for(now) }
    }

    /// Chooses the servers for a request, excluding those in `tried`.
    ///
    /// # Errors
    ///
    /// Fails if the request cannot be placed.
    pub fn place(&self, request: &Request, tried: &[runner::Id]) -> Result<Placement, Declined> {
        let now = self.now();
        let mut candidates = self.candidates(request, tried, now);
        if candidates.is_empty() && self.is_all_evacuated(request) {
            return Err(Declined::Evacuated);
        }
        self.add_savings(request, &mut candidates, now);
        let placement = self.choose(request, &candidates, now, CostBound::USUAL)?;
        self.record_reuse(request, &candidates, &placement, now);
        self.count_against_limits(&placement);
        Ok(placement)
    }

    /// Chooses the servers for a request among the candidates.
    pub(super) fn choose(
        &self,
        request: &Request,
        candidates: &[Candidate],
        now: Moment,
        bound: CostBound,
    ) -> Result<Placement, Declined> {
        match (&request.service.engine, &request.metadata.prompt) {
            (Some(profile), Some(prompt)) => {
                let demand = self.ledger.borrow().demand(now);
                let target_latency =
                    request.route.target_latency.saturating_sub(now.since(request.arrived));
                let prompt_request = placement::Request {
                    prompt,
                    target_latency,
                    target_gap: request.route.target_gap,
                    profile,
                };
                place_within(
                    &prompt_request,
                    candidates,
                    &demand,
                    self.unreported_short_prompts(&demand),
                    bound,
                )
            }
            _ => place_plain(candidates, rand::random()),
        }
    }

    /// Returns the retry delay for a request that the servers have no memory for.
    pub fn memory_retry_delay(&self, request: &Request) -> Duration {
        let candidates = self.candidates(request, &[], self.now());
        memory_retry_delay(candidates.iter().map(|c| c.load.backlog_ms).collect(), rand::random())
    }

    /// Estimates how many short prompts the other daemons have placed since their last reports.
    fn unreported_short_prompts(&self, demand: &Demand) -> f64 {
        let peers = self.peers.borrow().alive(self.now());
        let others = peers as f64 / (peers + 1) as f64;
        demand.short_per_s * others * report_interval(peers).as_secs_f64()
    }

    /// Returns the time until a server of the request's service takes requests of this daemon again,
    /// or `None` if the service has no server that has asked for a pause or limits its rate.
    pub fn time_until_accepted(&self, request: &Request) -> Option<Duration> {
        let (fleet, backoffs, now) = (self.fleet.borrow(), self.backoffs.borrow(), self.now());
        let limits = self.rate_limits.borrow();
        let mut servers = fleet.usable(&request.service.name);
        servers.retain(|s| !self.is_evacuated(s) && self.is_in_region(request, s));
        let times = servers.iter().filter_map(|s| {
            let until_within_limit = limits.time_left(&s.id, now)?;
            Some(backoffs.left(&s.id, now).max(until_within_limit))
        });
        times.filter(|time| !time.is_zero()).min()
    }

    /// Returns the work that a placement adds to each of its servers.
    pub fn assignments(&self, request: &Request, placement: &Placement) -> Vec<Assignment> {
        let prompt = request.metadata.prompt.filter(|_| request.service.engine.is_some());
        let memory = prompt.map_or(Tokens::ZERO, |p| p.tokens.saturating_add(p.max_output));
        let held = |server: &runner::Id| {
            let holder = placement.holders.iter().find(|(id, _)| id == server);
            holder.map_or(Tokens::ZERO, |(_, tokens)| *tokens)
        };
        let elsewhere = placement
            .holders
            .iter()
            .fold(Tokens::ZERO, |sum, (_, tokens)| sum.saturating_add(*tokens));
        let memory = memory.saturating_sub(elsewhere);
        let main = Assignment {
            server: placement.server.clone(),
            prefill_ms: placement.part_ms,
            target_gap: request.route.target_gap,
            value: prompt.map_or(0.0, |p| request_value(p.tokens)),
            urgency: prompt.map_or(0.0, |p| first_urgency(p.tokens, request.route.target_latency)),
            memory,
            helper: false,
        };
        let helper = |server: &runner::Id| Assignment {
            server: server.clone(),
            memory: held(server),
            helper: true,
            ..main.clone()
        };
        let helpers = placement.helpers.iter().map(helper).collect::<Vec<_>>();
        std::iter::once(main).chain(helpers).collect()
    }

    /// Returns the helper servers of a placement that are still known.
    pub fn helpers(
        &self,
        placement: &Placement,
        reservations: Option<&Reservations>,
    ) -> Vec<Helper> {
        let fleet = self.fleet.borrow();
        let known = placement.helpers.iter().filter_map(|id| fleet.server(id));
        let ticket = |s: &Server| reservations.and_then(|t| t.at(&s.id));
        known.map(|s| Helper { address: s.address, ticket: ticket(s) }).collect()
    }

    /// Returns the urgency of a request at its server, where 0 is served first.
    pub fn urgency(&self, request: &Request) -> Option<u8> {
        request.service.engine?;
        let non_interactive = u8::from(gap_group(request.route.target_gap) > 0);
        Some(request.priority.saturating_mul(2).saturating_add(non_interactive).min(9))
    }
}
