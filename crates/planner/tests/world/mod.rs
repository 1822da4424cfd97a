//! Simulated daemons, store, runner processes and engines for the property test of orders.

mod engine;
mod store;

use std::collections::BTreeSet;
use std::time::Duration;

use kumquattiller_base::runner;
use kumquattiller_base::time::Moment;
use kumquattiller_dialect::engine::Model;
use kumquattiller_inventory::Configuration;
use kumquattiller_inventory::rules::Desired;
use kumquattiller_inventory::rules::Versioned;
use kumquattiller_planner::Fencing;
use kumquattiller_planner::executor::Executor;
use kumquattiller_planner::executor::Number;
use kumquattiller_planner::executor::Order;
use kumquattiller_planner::lease::Action;
use kumquattiller_planner::lease::Candidate;
use kumquattiller_planner::lease::Timing;
use kumquattiller_planner::plan;
use kumquattiller_planner::plan::Limiter;
use kumquattiller_planner::plan::Plan;
use kumquattiller_planner::plan::Reports;

use crate::world::engine::Engine;
use crate::world::store::Outcome;
use crate::world::store::Store;

pub const DAEMONS: usize = 3;
pub const RUNNERS: usize = 4;

const TICK: Duration = Duration::from_millis(500);
const SETTLE_STEPS: usize = 100;
/// High enough never to limit loads; `rollout.rs` tests the limit.
const LOADS_PER_MINUTE: u32 = 10_000;
const TIMING: Timing = Timing {
    duration: Duration::from_secs(4),
    renew: Duration::from_secs(1),
    read: Duration::from_secs(1),
    margin: Duration::from_millis(500),
};

/// An entry daemon.
struct Daemon {
    candidate: Candidate,
    limiter: Limiter,
    paused_until: Moment,
}

/// A plan that was sent to the store but has not arrived.
struct Write {
    daemon: usize,
    plan: Plan,
    version: u64,
}

pub struct World {
    now: Moment,
    store: Store,
    daemons: Vec<Daemon>,
    executors: Vec<Executor>,
    engines: Vec<Engine>,
    writes: Vec<Write>,
    /// Orders that were sent to runners, given by index, but have not arrived.
    orders: Vec<(usize, Order)>,
    configuration: Configuration,
    /// Number of lease writes whose responses will be lost; while it is above zero, the responses
    /// to plan writes are lost as well.
    pub responses_to_lose: u8,
    pub outage: bool,
}

fn limiter() -> Limiter {
    let mut limiter = Limiter::exhausted(0, Moment::ZERO);
    limiter.set_limit(LOADS_PER_MINUTE);
    limiter
}

fn runner_id(runner: usize) -> runner::Id {
    format!("runner-{runner}").parse().expect("valid name")
}

impl World {
    pub fn new() -> Self {
        let daemon = |n: usize| Daemon {
            candidate: Candidate::new(format!("entry-{n}/1"), TIMING),
            limiter: limiter(),
            paused_until: Moment::ZERO,
        };
        let mut world = Self {
            now: Moment::ZERO,
            store: Store::default(),
            daemons: (0..DAEMONS).map(daemon).collect(),
            executors: (0..RUNNERS).map(|_| Executor::new()).collect(),
            engines: (0..RUNNERS).map(|n| Engine::new(n % 2 == 0)).collect(),
            writes: Vec::new(),
            orders: Vec::new(),
            configuration: Configuration::default(),
            responses_to_lose: 0,
            outage: false,
        };
        world.configure();
        world.settle();
        world
    }

    pub fn engines(&self) -> &[Engine] {
        &self.engines
    }

    pub fn desired_models(&self) -> Vec<Model> {
        let version = self.configuration.version.to_string();
        vec![Model { name: "writing".to_owned(), version }]
    }

    /// Returns the fencing tokens under which daemons consider themselves the lease holder.
    pub fn holders(&self) -> BTreeSet<Fencing> {
        self.daemons.iter().filter_map(|daemon| daemon.candidate.held_fencing(self.now)).collect()
    }

    /// Publishes a new configuration version that requires a new model version.
    pub fn configure(&mut self) {
        let version = self.configuration.version.next();
        let service = "invoices".parse().expect("valid name");
        let model = Versioned {
            name: "writing".parse().expect("valid name"),
            version: version.to_string(),
        };
        let runner = |n: usize| kumquattiller_inventory::register::Runner {
            id: runner_id(n),
            service: "invoices".parse().expect("valid name"),
            zone: "bole".parse().expect("valid name"),
            address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        };
        self.configuration.version = version;
        self.configuration.register.runners = (0..RUNNERS).map(runner).collect();
        self.configuration.rules.desired = vec![Desired {
            service,
            runners: Vec::new(),
            models: vec![model],
            adapters: Vec::new(),
            role: "both".to_owned(),
        }];
    }

    pub fn pause(&mut self, daemon: usize, span: Duration) {
        self.daemons[daemon].paused_until = self.now + span;
    }

    pub fn restart_executor(&mut self, runner: usize) {
        self.executors[runner] = Executor::new();
        // The command of the previous process ends or is aborted before the new process sends one.
        self.engines[runner].abort();
    }

    pub fn restart_engine(&mut self, runner: usize) {
        self.engines[runner].restart();
        self.executors[runner].command_finished();
    }

    pub fn change_manually(&mut self, runner: usize) {
        self.engines[runner].state.models.clear();
    }

    /// Advances the clock; daemons that are not paused acquire or renew the lease.
    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = (self.now + TICK).min(end);
            (0..DAEMONS).for_each(|daemon| self.tick(daemon));
            (0..RUNNERS).for_each(|runner| self.observe(runner));
        }
    }

    fn tick(&mut self, daemon: usize) {
        if self.now < self.daemons[daemon].paused_until {
            return;
        }
        let mut next = self.daemons[daemon].candidate.next_action(self.now);
        while let Some(action) = next {
            next = self.perform(daemon, action);
        }
    }

    /// Performs a store operation of a candidate; returns the operation that follows, if any.
    fn perform(&mut self, daemon: usize, action: Action) -> Option<Action> {
        let candidate = &mut self.daemons[daemon].candidate;
        if self.outage {
            candidate.handle_failure(false, self.now);
            return None;
        }
        let (record, condition) = match action {
            Action::Read => return candidate.handle_read(self.store.lease.clone(), self.now),
            Action::Write { record, condition } => (record, condition),
        };
        match self.store.write_lease(record, condition, &mut self.responses_to_lose) {
            Outcome::Written(version) => {
                candidate.handle_write(version, self.now);
            }
            Outcome::Conflict => candidate.handle_conflict(self.now),
            Outcome::Lost => candidate.handle_failure(true, self.now),
        }
        None
    }

    /// Computes the next plan on a daemon if it holds the lease.
    pub fn plan(&mut self, daemon: usize) {
        let now = self.now;
        let Daemon { candidate, limiter, paused_until } = &mut self.daemons[daemon];
        let Some(fencing) = candidate.held_fencing(now).filter(|_| now >= *paused_until) else {
            return;
        };
        let (version, plan) = self.store.plan.clone().unwrap_or_default();
        if self.outage || plan.fencing > fencing {
            return;
        }
        let desired = plan::targets(&self.configuration);
        let reports: Reports =
            self.engines.iter().enumerate().map(|(n, e)| (runner_id(n), e.state.clone())).collect();
        let desired_version = self.configuration.version;
        match plan.advance(fencing, desired_version, &desired, &reports, limiter, now) {
            Some(plan) => self.writes.push(Write { daemon, plan, version }),
            None => self.send(&plan),
        }
    }

    /// Delivers a plan to the store, after any delay.
    pub fn deliver_write(&mut self, index: usize) {
        if index >= self.writes.len() || self.outage {
            return;
        }
        let write = self.writes.remove(index);
        if self.store.write_plan(&write.plan, write.version) && self.responses_to_lose == 0 {
            let daemon = &self.daemons[write.daemon];
            if daemon.candidate.held_fencing(self.now) == Some(write.plan.fencing) {
                self.send(&write.plan);
            }
        }
    }

    fn send(&mut self, plan: &Plan) {
        let number = Number { fencing: plan.fencing, sequence: plan.sequence };
        for runner in 0..RUNNERS {
            let Some(target) = plan.target(&runner_id(runner)).cloned() else { continue };
            let order = (runner, Order { number, target });
            if !self.orders.contains(&order) {
                self.orders.push(order);
            }
        }
    }

    /// Delivers an order to its runner process, after any delay.
    pub fn deliver_order(&mut self, index: usize) {
        if index >= self.orders.len() {
            return;
        }
        let (runner, order) = self.orders.remove(index);
        self.accept_order(runner, order);
    }

    fn accept_order(&mut self, runner: usize, order: Order) {
        // Old orders are expected to be rejected.
        let _ = self.executors[runner].accept(order);
        self.observe(runner);
    }

    fn observe(&mut self, runner: usize) {
        let executor = &mut self.executors[runner];
        if !executor.is_lease_confirmed() {
            if let Some((_, lease)) = self.store.lease.as_ref().filter(|_| !self.outage) {
                executor.confirm_lease(lease.fencing);
            }
            return;
        }
        if let Some(order) = executor.reconcile(&self.engines[runner].state).order {
            self.engines[runner].begin(order);
        }
    }

    /// Lets an engine finish its command and reports the result to the executor.
    pub fn finish_command(&mut self, runner: usize) {
        match self.engines[runner].finish() {
            Some(Ok(())) => self.executors[runner].command_finished(),
            Some(Err(fencing)) => self.executors[runner].command_superseded(fencing),
            None => {}
        }
    }

    /// Lets daemons plan, runner processes receive their newest order and engines finish.
    ///
    /// The received orders also stay in flight, as delayed duplicates.
    pub fn process_all(&mut self) {
        (0..DAEMONS).for_each(|daemon| self.plan(daemon));
        while !self.writes.is_empty() && !self.outage {
            self.deliver_write(0);
        }
        for runner in 0..RUNNERS {
            let newest = self.orders.iter().rfind(|(to, _)| *to == runner).cloned();
            if let Some((_, order)) = newest {
                self.accept_order(runner, order);
            }
            self.finish_command(runner);
        }
    }

    /// Ends all faults and runs the system for [`SETTLE_STEPS`] steps.
    pub fn settle(&mut self) {
        self.outage = false;
        self.responses_to_lose = 0;
        for _ in 0..SETTLE_STEPS {
            self.advance(TICK);
            (0..DAEMONS).for_each(|daemon| self.plan(daemon));
            while !self.writes.is_empty() {
                self.deliver_write(0);
            }
            while !self.orders.is_empty() {
                self.deliver_order(0);
            }
            (0..RUNNERS).for_each(|runner| self.finish_command(runner));
        }
    }
}
