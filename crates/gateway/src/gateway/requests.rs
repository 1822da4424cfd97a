//! The budget, the placement and the load of a request.

use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use kumquattiller_base::runner;
use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;
use log::info;

use crate::Gateway;
use crate::dialect::Helper;
use crate::fleet::Server;
use crate::http::Job;
use crate::http::dial;
use crate::http::room_retry;
use crate::load::Assignment;
use crate::load::Demand;
use crate::load::gap_group;
use crate::load::server_key;
use crate::peer;
use crate::placement::Candidate;
use crate::placement::Declined;
use crate::placement::Placement;
use crate::placement::Reason;
use crate::placement::Request;
use crate::placement::fits_jointly;
use crate::placement::is_long;
use crate::placement::needs_joint;
use crate::placement::place_plain;
use crate::placement::place_prompt;
use crate::placement::request_value;
use crate::suspect;
use crate::ticket::Tickets;

/// Time in which a process that ends closes all its sockets.
const END_TIME: Duration = Duration::from_millis(50);
/// Longest time to find out whether a server still takes connections.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

impl Gateway {
    /// Counts an admitted request for the retry budget of its service.
    pub fn count_request(&self, job: &Job) {
        self.metrics.admitted();
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(job.service.name.clone()).or_default();
        budget.record_request(self.now(), &self.settings.budget);
        if let (Some(profile), Some(prompt)) = (&job.service.engine, &job.ask.prompt)
            && !needs_joint(prompt, profile)
        {
            let long = is_long(prompt, profile);
            let long_ms = if long { profile.prefill_ms(prompt.tokens) } else { 0.0 };
            self.ledger.borrow_mut().record_demand(long_ms, !long, self.now());
        }
    }

    /// Counts the reading of a prompt that several servers were found to hold. Before that it is
    /// no demand: most of them may be refused.
    pub fn count_joint(&self, placement: &Placement) {
        if placement.reason == Reason::Joint {
            let long_ms = placement.part_ms * (placement.helpers.len() + 1) as f64;
            self.ledger.borrow_mut().record_demand(long_ms, false, self.now());
        }
    }

    /// Takes one resend from the retry budget; returns false when none is left.
    pub fn may_resend(&self, job: &Job) -> bool {
        let now = self.now();
        let daemons = self.peers.borrow().alive(now) + 1;
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(job.service.name.clone()).or_default();
        let allowed = budget.withdraw(now, &self.settings.budget, daemons);
        if allowed {
            self.metrics.resent();
        } else {
            info!(target: "request", id = job.ask.id, daemons; "retry budget spent");
        }
        allowed
    }

    /// Finds out whether a server ended while it ran a request, and counts that against the
    /// request. A connection that broke says little by itself: the network may have cut it.
    pub fn suspect(self: &Rc<Self>, job: &Rc<Job>, server: &runner::Id) {
        let Some(address) = self.fleet.borrow().server(server).map(|s| s.address) else {
            return;
        };
        let (gateway, job, server) = (self.clone(), job.clone(), server.clone());
        tokio::task::spawn_local(async move {
            tokio::time::sleep(END_TIME).await;
            let refused = match dial(address, PROBE_TIMEOUT).await {
                Ok(_) => false,
                Err(error) => error.kind() == ErrorKind::ConnectionRefused,
            };
            if refused {
                gateway.count_death(&job, &server);
            } else {
                info!(target: "request", id = job.ask.id, server:%; "its server has not ended");
            }
        });
    }

    fn count_death(&self, job: &Job, server: &runner::Id) {
        let deaths = self.suspects.borrow_mut().record_crash(job.fingerprint, self.now());
        info!(target: "request", id = job.ask.id, server:%, deaths; "its server ended");
        if deaths >= suspect::CRASH_LIMIT {
            info!(target: "request", id = job.ask.id, deaths; "request is suspect");
        }
    }

    /// Chooses the servers of a request, none of `tried`.
    ///
    /// # Errors
    ///
    /// Fails where the request is placed nowhere.
    pub fn place(&self, job: &Job, tried: &[runner::Id]) -> Result<Placement, Declined> {
        let now = self.now();
        let candidates = self.candidates(job, tried, now);
        match (&job.service.engine, &job.ask.prompt) {
            (Some(profile), Some(prompt)) => {
                let demand = self.ledger.borrow().demand(now);
                let target_latency =
                    job.route.target_latency.saturating_sub(now.since(job.arrived));
                let request =
                    Request { prompt, target_latency, target_gap: job.route.target_gap, profile };
                place_prompt(&request, &candidates, &demand, self.unseen(&demand))
            }
            _ => place_plain(&candidates, rand::random()),
        }
    }

    /// Tells whether a request that found no room may find some when other requests end.
    pub fn may_find_room(&self, job: &Job) -> bool {
        let servers = self.fleet.borrow().usable(&job.service.name).len();
        match (&job.service.engine, &job.ask.prompt) {
            (Some(profile), Some(prompt)) => fits_jointly(prompt, profile, servers),
            _ => false,
        }
    }

    /// Returns when a request may come again that found no room.
    pub fn room_retry(&self, job: &Job) -> Duration {
        let candidates = self.candidates(job, &[], self.now());
        room_retry(candidates.iter().map(|c| c.load.backlog_ms).collect(), rand::random())
    }

    /// Returns how many short prompts the other daemons have placed since they last told of theirs.
    fn unseen(&self, demand: &Demand) -> f64 {
        let peers = self.peers.borrow().alive(self.now());
        let others = peers as f64 / (peers + 1) as f64;
        demand.short_per_s * others * peer::interval(peers).as_secs_f64()
    }

    /// Returns the servers that may get a request; those that fail only where no other is left.
    fn candidates(&self, job: &Job, tried: &[runner::Id], now: Moment) -> Vec<Candidate> {
        let fleet = self.fleet.borrow();
        let mut usable = fleet.usable(&job.service.name);
        usable.retain(|s| !tried.contains(&s.id));
        let health = self.health.borrow();
        if usable.iter().any(|s| health.is_usable(&s.id, now)) {
            usable.retain(|s| health.is_usable(&s.id, now));
        }
        let ledger = self.ledger.borrow();
        let peer_loads = ledger.peer_loads(now);
        let load = |s: &Server| ledger.total_load(&s.id, peer_loads.get(&server_key(&s.id)), now);
        let describe = |s: &Server| Candidate::new(s.id.clone(), load(s), s.slots);
        usable.into_iter().map(describe).collect()
    }

    /// Returns what a placement asks of each of its servers.
    pub fn works(&self, job: &Job, placement: &Placement) -> Vec<Assignment> {
        let prompt = job.ask.prompt.filter(|_| job.service.engine.is_some());
        let memory = prompt.map_or(Tokens::ZERO, |p| p.tokens.saturating_add(p.answer));
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
            target_gap: job.route.target_gap,
            value: prompt.map_or(0.0, |p| request_value(p.tokens)),
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

    /// Returns the helpers of a placement that are still known.
    pub fn helpers(&self, placement: &Placement, tickets: Option<&Tickets>) -> Vec<Helper> {
        let fleet = self.fleet.borrow();
        let known = placement.helpers.iter().filter_map(|id| fleet.server(id));
        let ticket = |s: &Server| tickets.and_then(|t| t.at(&s.id));
        known.map(|s| Helper { address: s.address, ticket: ticket(s) }).collect()
    }

    /// Returns how urgent a request is for its server, 0 first.
    pub fn urgency(&self, job: &Job) -> Option<u8> {
        job.service.engine?;
        let loose = u8::from(gap_group(job.route.target_gap) > 0);
        Some(job.rank.saturating_mul(2).saturating_add(loose).min(9))
    }
}
