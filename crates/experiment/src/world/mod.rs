//! Discrete-event simulation of one run.

mod backend;
mod event;
mod long;
mod runners;
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
use crate::metrics::Gaps;
use crate::model::Model;
use crate::workload::Job;
use crate::world::backend::Backend;
use crate::world::event::Event;
use crate::world::event::Timed;

pub use state::Outcome;
pub use state::State;

/// Number of refusals by runners after which a request is refused.
const MAX_REFUSALS: u32 = 8;

/// Maximum number of lost attempts after which a request is still retried.
const MAX_LOSSES: u32 = 2;

/// Mask that makes the seeds of the simulation differ from the seed of the workload.
const DECISION_SEED_MASK: u64 = 1 << 32;

/// An entry daemon.
#[derive(Debug)]
struct Entry {
    table: Table,
    router: Router,
    rng: ChaCha8Rng,
}

/// The state of a run.
#[derive(Debug)]
pub struct World {
    deployment: Deployment,
    model: Model,
    policy: Policy,
    now: Moment,
    sequence: u64,
    events: BinaryHeap<Timed>,
    entries: Vec<Entry>,
    backends: Vec<Backend>,
    jobs: Vec<Job>,
    states: Vec<State>,
    reservations: long::Reservations,
    rng: ChaCha8Rng,
    gaps: Gaps,
    unfinished: usize,
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
        let backends =
            (0..deployment.runners()).map(|n| Backend::new(n, n % zones, &model)).collect();
        let mut world = Self {
            deployment,
            model,
            policy,
            now: Moment::ZERO,
            sequence: 0,
            events: BinaryHeap::new(),
            entries: Vec::new(),
            backends,
            states: vec![State::default(); jobs.len()],
            unfinished: jobs.len(),
            jobs,
            reservations: long::Reservations::default(),
            rng: ChaCha8Rng::seed_from_u64(seed ^ DECISION_SEED_MASK),
            gaps: Gaps::default(),
        };
        world.entries = (0..zones).map(|zone| world.new_entry(zone, seed)).collect();
        world.schedule_initial_events();
        world
    }

    /// Runs until every request has its outcome.
    pub fn run(mut self) -> (Vec<Job>, Vec<State>, Gaps) {
        while self.unfinished > 0
            && let Some(timed) = self.events.pop()
        {
            self.now = timed.at;
            self.handle(timed.event);
        }
        (self.jobs, self.states, self.gaps)
    }

    fn new_entry(&self, zone: usize, seed: u64) -> Entry {
        let mut table = Table::default();
        for backend in &self.backends {
            let distance =
                if backend.zone == zone { Distance::OwnZone } else { Distance::OwnRegion };
            table.insert(backend.id.clone(), zone_name(backend.zone), distance);
            table.report(&backend.id, backend.load(self.policy.has_gate()), Moment::ZERO);
        }
        let seed = seed ^ DECISION_SEED_MASK ^ (zone as u64 + 1);
        let router = Router::new(self.policy, self.model.pace());
        Entry { table, router, rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Schedules arrivals, deadlines, heartbeats and crashes.
    fn schedule_initial_events(&mut self) {
        for job in 0..self.jobs.len() {
            self.schedule(self.jobs[job].arrival, Event::Arrive { job });
            self.schedule(self.jobs[job].deadline, Event::Expire { job });
        }
        for runner in 0..self.backends.len() {
            let offset = self.model.report_interval / self.backends.len() as u32 * runner as u32;
            self.schedule(Moment::ZERO + offset, Event::Heartbeat { runner });
            self.schedule_crash(runner);
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
            Event::Returned { job, runner, attempt } => self.retry(job, runner, attempt),
            Event::Ended { job, runner } => {
                let daemon = self.entry_index(job);
                self.entries[daemon].table.finished(&self.backends[runner].id);
            }
            Event::Step { runner, incarnation } => self.finish_step(runner, incarnation),
            Event::Heartbeat { runner } => self.heartbeat(runner),
            Event::Report { daemon, runner, load, evicted, gap } => {
                let id = &self.backends[runner].id;
                let entry = &mut self.entries[daemon];
                entry.table.report(id, load, self.now);
                entry.router.prefixes_mut().record_eviction(id, &evicted);
                if gap {
                    entry.router.prefixes_mut().record_gap(id);
                }
            }
            Event::Expire { job } => self.expire(job),
            Event::Crash { runner } => self.crash(runner),
            Event::Restart { runner } => self.restart(runner),
            Event::Reserve { job } => self.advance_reservation(job),
        }
    }

    /// Returns the index of the entry daemon to which the load balancer assigns a request.
    fn entry_index(&self, job: usize) -> usize {
        job % self.entries.len()
    }

    fn latency(&self, daemon: usize, runner: usize) -> Duration {
        if self.backends[runner].zone == daemon {
            self.deployment.zone_latency() / 2
        } else {
            self.deployment.zone_latency()
        }
    }

    /// Chooses a runner for the next attempt, or refuses the request.
    fn route(&mut self, job: usize) {
        if self.needs_several_engines(job) {
            self.begin_reservation(job);
            return;
        }
        let daemon = self.entry_index(job);
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
            self.finish(job, Outcome::Refused);
            return;
        };
        entry.table.sent(&choice.runner, &request);
        let runner = self.backends.iter().position(|s| s.id == choice.runner).expect("a known id");
        state.attempt += 1;
        state.runner = Some(runner);
        let attempt = state.attempt;
        let at = now + self.latency(daemon, runner);
        self.schedule(at, Event::Offer { job, runner, attempt });
    }

    /// Tries the next runner after a refusal or a loss, unless there were too many.
    fn retry(&mut self, job: usize, runner: usize, attempt: u32) {
        let daemon = self.entry_index(job);
        let id = self.backends[runner].id.clone();
        self.entries[daemon].table.finished(&id);
        let state = &mut self.states[job];
        if state.outcome.is_some() || state.attempt != attempt {
            return;
        }
        state.tried.push(id);
        state.runner = None;
        if state.losses > MAX_LOSSES {
            self.finish(job, Outcome::Failed);
        } else if state.refusals >= MAX_REFUSALS {
            self.finish(job, Outcome::Refused);
        } else {
            self.route(job);
        }
    }

    fn expire(&mut self, job: usize) {
        if self.states[job].outcome.is_some() {
            return;
        }
        self.cancel(job);
        self.finish(job, Outcome::Late);
    }

    /// Records the outcome of a request, unless it already has one.
    fn finish(&mut self, job: usize, outcome: Outcome) {
        let at = self.now + self.deployment.client_latency();
        let state = &mut self.states[job];
        if state.outcome.is_none() {
            state.outcome = Some(outcome);
            state.end = Some(at);
            self.unfinished -= 1;
        }
    }
}

/// Returns the name of an availability zone.
fn zone_name(zone: usize) -> Zone {
    format!("zone-{zone}").parse().expect("a valid name")
}
