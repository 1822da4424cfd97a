//! Several writers over one store, with faults at every step.

mod node;
mod store;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use kumquattiller_base::attempt;
use kumquattiller_base::error;
use kumquattiller_base::fingerprint::Fingerprint;
use kumquattiller_base::request;
use kumquattiller_base::request::Key;
use kumquattiller_base::time::Moment;
use kumquattiller_claims::Action;
use kumquattiller_claims::Answer;
use kumquattiller_claims::Attempt;
use kumquattiller_claims::Call;
use kumquattiller_claims::Event;
use kumquattiller_claims::Now;
use kumquattiller_claims::Outcome;
use kumquattiller_claims::Reply;
use kumquattiller_claims::Timestamp;
use kumquattiller_claims::Want;
use node::Node;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use store::Fault;
use store::Operation;
use store::Store;

pub const NODES: usize = 3;
pub const KEYS: usize = 3;
const DEADLINE: Duration = Duration::from_secs(30);
const ANSWER_WITHIN: Duration = Duration::from_secs(1);

/// What happens to a start on its way to a runner.
#[derive(Debug, Clone, Copy)]
pub enum Fate {
    Runs,
    Refused,
    DiesRunning,
    LostBefore,
    RunsLate,
}

/// One step of a schedule; indices are taken modulo what there is.
#[derive(Debug, Clone, Copy)]
pub enum Step {
    Call(usize, usize),
    Store(usize, Fault),
    Begin(usize),
    Runner(usize, Fate),
    Kill(usize),
    Pause(usize),
    Wake(usize),
    Outage(bool),
    Advance(u64),
}

pub fn step() -> impl Strategy<Value = Step> {
    let index = 0..8_usize;
    let fault = prop_oneof![
        6 => proptest::strategy::Just(Fault::None),
        2 => proptest::strategy::Just(Fault::AnswerLost),
        1 => proptest::strategy::Just(Fault::Late),
        1 => proptest::strategy::Just(Fault::Refused),
    ];
    let fate = prop_oneof![
        4 => proptest::strategy::Just(Fate::Runs),
        1 => proptest::strategy::Just(Fate::Refused),
        1 => proptest::strategy::Just(Fate::DiesRunning),
        1 => proptest::strategy::Just(Fate::LostBefore),
        1 => proptest::strategy::Just(Fate::RunsLate),
    ];
    prop_oneof![
        6 => (index.clone(), index.clone()).prop_map(|(node, key)| Step::Call(node, key)),
        10 => (index.clone(), fault).prop_map(|(op, fault)| Step::Store(op, fault)),
        5 => index.clone().prop_map(Step::Begin),
        5 => (index.clone(), fate).prop_map(|(start, fate)| Step::Runner(start, fate)),
        1 => index.clone().prop_map(Step::Kill),
        1 => index.clone().prop_map(Step::Pause),
        2 => index.prop_map(Step::Wake),
        1 => proptest::bool::ANY.prop_map(Step::Outage),
        6 => prop_oneof![1..20_u64, 200..2_000_u64, 10_000..60_000_u64].prop_map(Step::Advance),
    ]
}

/// A start on its way to a runner.
#[derive(Debug)]
struct Start {
    node: usize,
    incarnation: u64,
    call: u64,
    key: usize,
}

/// The fleet and what its callers and backend servers saw.
pub struct Fleet {
    nodes: Vec<Node>,
    store: Store,
    operations: Vec<Operation>,
    starts: Vec<Start>,
    late: Vec<Start>,
    millis: u64,
    calls: u64,
    /// Key and node of each call.
    asked: BTreeMap<u64, (usize, usize)>,
    answered: BTreeSet<u64>,
    told_not_run: BTreeSet<u64>,
    ran: BTreeMap<usize, Vec<u64>>,
    pub problems: Vec<String>,
}

pub fn key(index: usize) -> Key {
    let account = "hotline".parse().expect("valid account");
    Key::new(account, &format!("order-{index}")).expect("valid key")
}

impl Fleet {
    pub fn new(blind: bool) -> Self {
        Self {
            nodes: (0..NODES).map(|index| Node::new(index, 1)).collect(),
            store: Store::new(blind),
            operations: Vec::new(),
            starts: Vec::new(),
            late: Vec::new(),
            millis: 1_000,
            calls: 0,
            asked: BTreeMap::new(),
            answered: BTreeSet::new(),
            told_not_run: BTreeSet::new(),
            ran: BTreeMap::new(),
            problems: Vec::new(),
        }
    }

    /// Runs a schedule, then lets everything that is left come to its end.
    pub fn run(&mut self, steps: &[Step]) {
        for step in steps {
            self.step(*step);
            self.millis += 1;
        }
        self.step(Step::Outage(false));
        (0..NODES).for_each(|node| self.step(Step::Wake(node)));
        for _ in 0..400 {
            self.step(Step::Store(0, Fault::None));
            self.step(Step::Begin(0));
            self.step(Step::Runner(0, Fate::Runs));
            self.step(Step::Advance(50));
        }
        self.check_end();
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Call(node, key) => self.call(node % NODES, key % KEYS),
            Step::Store(index, fault) => self.answer_store(index, fault),
            Step::Begin(node) => self.begin(node),
            Step::Runner(index, fate) => self.deliver_start(index, fate),
            Step::Kill(node) => self.kill(node % NODES),
            Step::Pause(node) => self.nodes[node % NODES].paused = true,
            Step::Wake(node) => self.wake(node % NODES),
            Step::Outage(out) => self.store.out = out,
            Step::Advance(millis) => {
                self.millis += millis;
                (0..NODES).for_each(|node| self.send(node, Event::Tick));
            }
        }
    }

    fn now(&self) -> Now {
        let wall = Timestamp::from_millis(1_000_000 + self.millis);
        Now { moment: Moment::from_millis(self.millis), wall }
    }

    fn call(&mut self, node: usize, index: usize) {
        let now = self.now();
        self.calls += 1;
        self.asked.insert(self.calls, (index, node));
        let account = "hotline".parse().expect("valid account");
        let want = Want {
            call: Call(self.calls),
            key: key(index),
            fingerprint: Fingerprint::of(&account, "/orders", b"crew to street 5"),
            attempt: Attempt::new(u128::from(self.calls)),
            until: now.wall + DEADLINE,
            start_by: now.moment + DEADLINE,
            answer_by: now.moment + ANSWER_WITHIN,
        };
        self.send(node, Event::Want(want));
    }

    fn send(&mut self, node: usize, event: Event) {
        let now = self.now();
        let actions = self.nodes[node].hear(now, event);
        self.carry_out(node, actions);
    }

    fn carry_out(&mut self, node: usize, actions: Vec<Action>) {
        let incarnation = self.nodes[node].incarnation;
        for action in actions {
            match action {
                Action::Read(number) => {
                    self.operations.push(Operation::read(node, incarnation, number));
                }
                Action::Write { number, version, shard } => {
                    let operation = Operation::write(node, incarnation, number, version, shard);
                    self.operations.push(operation);
                }
                Action::Reply(call, answer) => self.reply(node, call.0, answer),
            }
        }
    }

    fn reply(&mut self, node: usize, call: u64, answer: Answer) {
        if !self.answered.insert(call) {
            self.problems.push(format!("call {call} was answered twice"));
        }
        let key = self.asked[&call].0;
        match answer {
            Answer::Granted(claim) => self.nodes[node].granted.push((call, claim)),
            Answer::Unavailable | Answer::Full => {
                self.told_not_run.insert(call);
            }
            Answer::Finished(Outcome::Done(_)) if !self.ran.contains_key(&key) => {
                self.problems.push(format!("key {key} is told done and never ran"));
            }
            _ => {}
        }
    }

    fn answer_store(&mut self, index: usize, fault: Fault) {
        if self.operations.is_empty() {
            return;
        }
        let mut operation = self.operations.remove(index % self.operations.len());
        let (node, incarnation) = (operation.node, operation.incarnation);
        let silent = operation.silent;
        let event = self.store.answer(&mut operation, fault);
        if operation.silent && !silent {
            self.operations.push(operation);
        }
        if !silent && self.nodes[node].incarnation == incarnation {
            self.send(node, event);
        }
    }

    /// Lets a node use the claims that it was granted.
    fn begin(&mut self, node: usize) {
        let node = (0..NODES)
            .map(|step| (node + step) % NODES)
            .find(|node| !self.nodes[*node].paused && !self.nodes[*node].granted.is_empty());
        let Some(node) = node else {
            return;
        };
        let now = self.now();
        let (call, claim) = self.nodes[node].granted.remove(0);
        let key = self.asked[&call].0;
        match claim.start(now) {
            Ok(started) => {
                let incarnation = self.nodes[node].incarnation;
                self.nodes[node].started.insert(call, started);
                self.starts.push(Start { node, incarnation, call, key });
            }
            Err(lapsed) => self.give_up(node, call, lapsed.0.release()),
        }
    }

    /// Tells the caller "not run" under a claim in hand, which speaks for the key as a whole.
    fn give_up(&mut self, node: usize, call: u64, release: Event) {
        let key = self.asked[&call].0;
        if self.ran.contains_key(&key) {
            self.problems.push(format!("key {key} ran and call {call} is told not run"));
        }
        self.told_not_run.insert(call);
        self.send(node, release);
    }

    fn deliver_start(&mut self, index: usize, fate: Fate) {
        if !self.late.is_empty() && matches!(fate, Fate::Runs) {
            let start = self.late.remove(0);
            self.ran.entry(start.key).or_default().push(start.call);
        }
        if self.starts.is_empty() {
            return;
        }
        let start = self.starts.remove(index % self.starts.len());
        if matches!(fate, Fate::Runs | Fate::DiesRunning) {
            self.ran.entry(start.key).or_default().push(start.call);
        }
        let (node, call) = (start.node, start.call);
        let same = self.nodes[node].incarnation == start.incarnation;
        if matches!(fate, Fate::RunsLate) {
            self.late.push(start);
        }
        let claim = self.nodes[node].started.remove(&call).filter(|_| same);
        let Some(claim) = claim else {
            return;
        };
        match fate {
            Fate::Runs => {
                let outcome = Outcome::Done(Reply::new(200, "text/plain", b"sent"));
                self.send(node, claim.finish(outcome));
            }
            Fate::Refused => {
                let attempt = attempt::Attempt::first(request::Id::from_u128(u128::from(call)));
                let refused = attempt.send().refuse();
                self.nodes[node].granted.push((call, claim.refused(&refused)));
            }
            _ => {
                let outcome = Outcome::Unknown(error::Kind::RunnerLost);
                self.send(node, claim.finish(outcome));
            }
        }
    }

    fn kill(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation + 1;
        self.nodes[node] = Node::new(node, incarnation);
        let lost: Vec<u64> =
            self.asked.iter().filter(|(_, at)| at.1 == node).map(|(call, _)| *call).collect();
        self.answered.extend(lost);
    }

    fn wake(&mut self, node: usize) {
        let now = self.now();
        self.nodes[node].paused = false;
        for event in std::mem::take(&mut self.nodes[node].inbox) {
            let actions = self.nodes[node].hear(now, event);
            self.carry_out(node, actions);
        }
    }

    fn check_end(&mut self) {
        for (key, calls) in &self.ran {
            if calls.len() > 1 {
                self.problems.push(format!("key {key} started {} times", calls.len()));
            }
            for call in calls.iter().filter(|call| self.told_not_run.contains(call)) {
                self.problems.push(format!("call {call} started and was told not run"));
            }
        }
        for call in self.asked.keys().filter(|call| !self.answered.contains(call)) {
            self.problems.push(format!("call {call} was never answered"));
        }
    }
}
