//! Daemons, a store, runner processes and engines for the properties of orders.

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
use kumquattiller_planner::lease::Contender;
use kumquattiller_planner::lease::Timing;
use kumquattiller_planner::plan;
use kumquattiller_planner::plan::Pace;
use kumquattiller_planner::plan::Plan;
use kumquattiller_planner::plan::Reports;

use crate::world::engine::Engine;
use crate::world::store::Answer;
use crate::world::store::Store;

pub const DAEMONS: usize = 3;
pub const RUNNERS: usize = 4;

const TICK: Duration = Duration::from_millis(500);
const SETTLE_STEPS: usize = 100;
/// The pace is a property of its own; here it does not bind.
const LOADS_PER_MINUTE: u32 = 10_000;
const TIMING: Timing = Timing {
    duration: Duration::from_secs(4),
    renew: Duration::from_secs(1),
    read: Duration::from_secs(1),
    margin: Duration::from_millis(500),
};

/// An entry daemon.
struct Daemon {
    contender: Contender,
    pace: Pace,
    paused_until: Moment,
}

/// A plan on its way to the store.
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
    orders: Vec<(usize, Order)>,
    configuration: Configuration,
    pub lost_answers: u8,
    pub outage: bool,
}

fn pace() -> Pace {
    let mut pace = Pace::spent(0, Moment::ZERO);
    pace.set_limit(LOADS_PER_MINUTE);
    pace
}

fn name(runner: usize) -> runner::Id {
    format!("runner-{runner}").parse().expect("a name")
}

impl World {
    pub fn new() -> Self {
        let daemon = |n: usize| Daemon {
            contender: Contender::new(format!("entry-{n}/1"), TIMING),
            pace: pace(),
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
            lost_answers: 0,
            outage: false,
        };
        world.configure();
        world.settle();
        world
    }

    pub fn engines(&self) -> &[Engine] {
        &self.engines
    }

    pub fn wanted(&self) -> Vec<Model> {
        let version = self.configuration.version.to_string();
        vec![Model { name: "writing".to_owned(), version }]
    }

    pub fn holders(&self) -> BTreeSet<Fencing> {
        self.daemons.iter().filter_map(|daemon| daemon.contender.holds(self.now)).collect()
    }

    pub fn configure(&mut self) {
        let version = self.configuration.version.next();
        let service = "invoices".parse().expect("a name");
        let model =
            Versioned { name: "writing".parse().expect("a name"), version: version.to_string() };
        let runner = |n: usize| kumquattiller_inventory::register::Runner {
            id: name(n),
            service: "invoices".parse().expect("a name"),
            zone: "bole".parse().expect("a name"),
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
        // The call of the process that ended is over or cut before the next process calls.
        self.engines[runner].cut();
    }

    pub fn restart_engine(&mut self, runner: usize) {
        self.engines[runner].restart();
        self.executors[runner].done();
    }

    pub fn change_by_hand(&mut self, runner: usize) {
        self.engines[runner].state.models.clear();
    }

    /// Lets time pass; daemons that are not paused look after their lease.
    pub fn pass(&mut self, span: Duration) {
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
        let mut next = self.daemons[daemon].contender.tick(self.now);
        while let Some(action) = next {
            next = self.call(daemon, action);
        }
    }

    /// Makes a call of a contender; returns what follows from its answer.
    fn call(&mut self, daemon: usize, action: Action) -> Option<Action> {
        let contender = &mut self.daemons[daemon].contender;
        if self.outage {
            contender.failed(false, self.now);
            return None;
        }
        let (record, condition) = match action {
            Action::Read => return contender.read(self.store.lease.clone(), self.now),
            Action::Write { record, condition } => (record, condition),
        };
        match self.store.write_lease(record, condition, &mut self.lost_answers) {
            Answer::Written(version) => {
                contender.written(version, self.now);
            }
            Answer::Conflict => contender.conflict(self.now),
            Answer::Lost => contender.failed(true, self.now),
        }
        None
    }

    /// Lets a daemon that holds the lease decide on the next plan.
    pub fn plan(&mut self, daemon: usize) {
        let now = self.now;
        let Daemon { contender, pace, paused_until } = &mut self.daemons[daemon];
        let Some(fencing) = contender.holds(now).filter(|_| now >= *paused_until) else { return };
        let (version, plan) = self.store.plan.clone().unwrap_or_default();
        if self.outage || plan.fencing > fencing {
            return;
        }
        let desired = plan::targets(&self.configuration);
        let reports: Reports =
            self.engines.iter().enumerate().map(|(n, e)| (name(n), e.state.clone())).collect();
        let version_wanted = self.configuration.version;
        match plan.advance(fencing, version_wanted, &desired, &reports, pace, now) {
            Some(plan) => self.writes.push(Write { daemon, plan, version }),
            None => self.send(&plan),
        }
    }

    /// Lets a plan reach the store, however late.
    pub fn deliver_write(&mut self, index: usize) {
        if index >= self.writes.len() || self.outage {
            return;
        }
        let write = self.writes.remove(index);
        if self.store.write_plan(&write.plan, write.version) && self.lost_answers == 0 {
            let daemon = &self.daemons[write.daemon];
            if daemon.contender.holds(self.now) == Some(write.plan.fencing) {
                self.send(&write.plan);
            }
        }
    }

    fn send(&mut self, plan: &Plan) {
        let number = Number { fencing: plan.fencing, sequence: plan.sequence };
        for runner in 0..RUNNERS {
            let Some(target) = plan.target(&name(runner)).cloned() else { continue };
            let order = (runner, Order { number, target });
            if !self.orders.contains(&order) {
                self.orders.push(order);
            }
        }
    }

    /// Lets an order reach its runner process, however late.
    pub fn deliver_order(&mut self, index: usize) {
        if index >= self.orders.len() {
            return;
        }
        let (runner, order) = self.orders.remove(index);
        self.take_order(runner, order);
    }

    fn take_order(&mut self, runner: usize, order: Order) {
        // A refusal is what the property asks for.
        let _ = self.executors[runner].order(order);
        self.observe(runner);
    }

    fn observe(&mut self, runner: usize) {
        let executor = &mut self.executors[runner];
        if !executor.is_confirmed() {
            if let Some((_, lease)) = self.store.lease.as_ref().filter(|_| !self.outage) {
                executor.confirm(lease.fencing);
            }
            return;
        }
        if let Some(order) = executor.observe(&self.engines[runner].state).order {
            self.engines[runner].begin(order);
        }
    }

    /// Lets an engine carry out its command and answer.
    pub fn engine_answers(&mut self, runner: usize) {
        match self.engines[runner].finish() {
            Some(Ok(())) => self.executors[runner].done(),
            Some(Err(fencing)) => self.executors[runner].superseded(fencing),
            None => {}
        }
    }

    /// Lets daemons plan, runner processes get the newest order, and engines answer.
    ///
    /// The orders stay on their way as well, as a repeat that was delayed.
    pub fn work(&mut self) {
        (0..DAEMONS).for_each(|daemon| self.plan(daemon));
        while !self.writes.is_empty() && !self.outage {
            self.deliver_write(0);
        }
        for runner in 0..RUNNERS {
            let newest = self.orders.iter().rfind(|(to, _)| *to == runner).cloned();
            if let Some((_, order)) = newest {
                self.take_order(runner, order);
            }
            self.engine_answers(runner);
        }
    }

    /// Ends the faults and lets everything go on for a while.
    pub fn settle(&mut self) {
        self.outage = false;
        self.lost_answers = 0;
        for _ in 0..SETTLE_STEPS {
            self.pass(TICK);
            (0..DAEMONS).for_each(|daemon| self.plan(daemon));
            while !self.writes.is_empty() {
                self.deliver_write(0);
            }
            while !self.orders.is_empty() {
                self.deliver_order(0);
            }
            (0..RUNNERS).for_each(|runner| self.engine_answers(runner));
        }
    }
}
