//! The course of one run.

mod event;
mod long;
mod runners;
mod site;
mod state;

use std::collections::BinaryHeap;
use std::time::Duration;

use kumquattiller_base::account::Rank;
use kumquattiller_base::place::Zone;
use kumquattiller_base::time::Moment;
use kumquattiller_routing::policy::Policy;
use kumquattiller_routing::request::Request;
use kumquattiller_routing::router::Router;
use kumquattiller_routing::table::Distance;
use kumquattiller_routing::table::Table;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::deployment::Deployment;
use crate::figures::Gaps;
use crate::model::Model;
use crate::workload::Job;
use crate::world::event::Event;
use crate::world::event::Timed;
use crate::world::site::Site;

pub use state::Result;
pub use state::State;

/// Runners that one request is offered to at most when each refuses.
const MAX_REFUSALS: u32 = 8;

/// Runners that one request may lose.
const MAX_LOSSES: u32 = 2;

/// Seed of the random numbers of the decisions is this far from the workload's.
const DECISION_SEED: u64 = 1 << 32;

/// An entry daemon.
#[derive(Debug)]
struct Entry {
    table: Table,
    router: Router,
    rng: ChaCha8Rng,
}

/// A run in progress.
#[derive(Debug)]
pub struct World {
    deployment: Deployment,
    model: Model,
    policy: Policy,
    now: Moment,
    sequence: u64,
    events: BinaryHeap<Timed>,
    entries: Vec<Entry>,
    sites: Vec<Site>,
    jobs: Vec<Job>,
    states: Vec<State>,
    long: long::Book,
    rng: ChaCha8Rng,
    gaps: Gaps,
    open: usize,
}

impl World {
    /// Prepares a run over `jobs`.
    pub fn new(
        deployment: Deployment,
        model: Model,
        policy: Policy,
        jobs: Vec<Job>,
        seed: u64,
    ) -> Self {
        let zones = deployment.zones();
        let sites = (0..deployment.runners()).map(|n| Site::new(n, n % zones, &model)).collect();
        let mut world = Self {
            deployment,
            model,
            policy,
            now: Moment::ZERO,
            sequence: 0,
            events: BinaryHeap::new(),
            entries: Vec::new(),
            sites,
            states: vec![State::default(); jobs.len()],
            open: jobs.len(),
            jobs,
            long: long::Book::default(),
            rng: ChaCha8Rng::seed_from_u64(seed ^ DECISION_SEED),
            gaps: Gaps::default(),
        };
        world.entries = (0..zones).map(|zone| world.entry(zone, seed)).collect();
        world.plan();
        world
    }

    /// Runs until every request has its outcome.
    pub fn run(mut self) -> (Vec<Job>, Vec<State>, Gaps) {
        while self.open > 0
            && let Some(timed) = self.events.pop()
        {
            self.now = timed.at;
            self.handle(timed.event);
        }
        (self.jobs, self.states, self.gaps)
    }

    fn entry(&self, zone: usize, seed: u64) -> Entry {
        let mut table = Table::default();
        for site in &self.sites {
            let distance = if site.zone == zone { Distance::OwnZone } else { Distance::OwnRegion };
            table.insert(site.id.clone(), zone_name(site.zone), distance);
            table.report(&site.id, site.load(self.policy.has_gate()), Moment::ZERO);
        }
        let seed = seed ^ DECISION_SEED ^ (zone as u64 + 1);
        let router = Router::new(self.policy, self.model.pace());
        Entry { table, router, rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Schedules arrivals, deadlines, heartbeats and deaths.
    fn plan(&mut self) {
        for job in 0..self.jobs.len() {
            self.schedule(self.jobs[job].arrival, Event::Arrive { job });
            self.schedule(self.jobs[job].deadline, Event::Expire { job });
        }
        for runner in 0..self.sites.len() {
            let offset = self.model.report_interval / self.sites.len() as u32 * runner as u32;
            self.schedule(Moment::ZERO + offset, Event::Heartbeat { runner });
            self.plan_death(runner);
        }
    }

    fn schedule(&mut self, at: Moment, event: Event) {
        self.sequence += 1;
        self.events.push(Timed { at, sequence: self.sequence, event });
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { job } => self.route(job),
            Event::Offer { job, runner, attempt } => self.offer(job, runner, attempt),
            Event::Returned { job, runner, attempt } => self.returned(job, runner, attempt),
            Event::Ended { job, runner } => {
                let daemon = self.daemon(job);
                self.entries[daemon].table.finished(&self.sites[runner].id);
            }
            Event::Step { runner, life } => self.step(runner, life),
            Event::Heartbeat { runner } => self.heartbeat(runner),
            Event::Report { daemon, runner, load, evicted, gap } => {
                let id = &self.sites[runner].id;
                let entry = &mut self.entries[daemon];
                entry.table.report(id, load, self.now);
                entry.router.prefixes_mut().record_eviction(id, &evicted);
                if gap {
                    entry.router.prefixes_mut().record_gap(id);
                }
            }
            Event::Expire { job } => self.expire(job),
            Event::Die { runner } => self.die(runner),
            Event::Revive { runner } => self.revive(runner),
            Event::Reserve { job } => self.advance_long(job),
        }
    }

    /// Returns the entry daemon that the balancer gave a request to.
    fn daemon(&self, job: usize) -> usize {
        job % self.entries.len()
    }

    fn latency(&self, daemon: usize, runner: usize) -> Duration {
        if self.sites[runner].zone == daemon {
            self.deployment.zone_latency() / 2
        } else {
            self.deployment.zone_latency()
        }
    }

    /// Picks a runner for the next attempt, or refuses.
    fn route(&mut self, job: usize) {
        if self.is_larger_than_an_engine(job) {
            self.begin_long(job);
            return;
        }
        let daemon = self.daemon(job);
        let now = self.now;
        let (work, state) = (&self.jobs[job], &mut self.states[job]);
        let request = Request {
            prompt: work.prompt,
            max_response: work.max_answer,
            prefix_hashes: &work.blocks,
            rank: Rank::ZERO,
            remaining: work.deadline.since(now),
            tried: &state.tried,
        };
        let entry = &mut self.entries[daemon];
        let Ok(choice) = entry.router.choose(&entry.table, &request, now, &mut entry.rng) else {
            self.finish(job, Result::Refused);
            return;
        };
        entry.table.sent(&choice.runner, &request);
        let runner = self.sites.iter().position(|s| s.id == choice.runner).expect("a known id");
        state.attempt += 1;
        state.runner = Some(runner);
        let attempt = state.attempt;
        let at = now + self.latency(daemon, runner);
        self.schedule(at, Event::Offer { job, runner, attempt });
    }

    /// Goes on with the next runner after a refusal or a loss.
    fn returned(&mut self, job: usize, runner: usize, attempt: u32) {
        let daemon = self.daemon(job);
        let id = self.sites[runner].id.clone();
        self.entries[daemon].table.finished(&id);
        let state = &mut self.states[job];
        if state.result.is_some() || state.attempt != attempt {
            return;
        }
        state.tried.push(id);
        state.runner = None;
        if state.losses > MAX_LOSSES {
            self.finish(job, Result::Failed);
        } else if state.refusals >= MAX_REFUSALS {
            self.finish(job, Result::Refused);
        } else {
            self.route(job);
        }
    }

    fn expire(&mut self, job: usize) {
        if self.states[job].result.is_some() {
            return;
        }
        self.cancel(job);
        self.finish(job, Result::Late);
    }

    /// Records the outcome of a request, once.
    fn finish(&mut self, job: usize, result: Result) {
        let at = self.now + self.deployment.client_latency();
        let state = &mut self.states[job];
        if state.result.is_none() {
            state.result = Some(result);
            state.end = Some(at);
            self.open -= 1;
        }
    }
}

/// Returns the name of an availability zone.
fn zone_name(zone: usize) -> Zone {
    format!("zone-{zone}").parse().expect("a valid name")
}
