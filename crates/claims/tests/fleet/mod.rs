//! A model of several entry daemons that share one store, with faults at every step.

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
use kumquattiller_claims::CallId;
use kumquattiller_claims::ClaimRequest;
use kumquattiller_claims::Event;
use kumquattiller_claims::Now;
use kumquattiller_claims::Outcome;
use kumquattiller_claims::Response;
use kumquattiller_claims::Timestamp;
use node::Node;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use store::Fault;
use store::Operation;
use store::Store;

pub const NODES: usize = 3;
pub const KEYS: usize = 3;
const DEADLINE: Duration = Duration::from_secs(30);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// What happens to the start of a request on a runner.
#[derive(Debug, Clone, Copy)]
pub enum StartResult {
    /// The request runs and its outcome is reported.
    Runs,
    /// The runner refuses before starting the request.
    Refused,
    /// The request runs, but the runner fails before it reports the outcome.
    RunnerFails,
    /// The start is lost and the request never runs.
    LostBefore,
    /// The start is reported as lost, but the request runs later.
    RunsLate,
}

/// One step of a schedule; an index is taken modulo the number of its targets.
#[derive(Debug, Clone, Copy)]
pub enum Step {
    /// A call for a key arrives at a node.
    Call(usize, usize),
    /// The store executes an operation.
    Store(usize, Fault),
    /// A node uses the oldest claim that it was granted.
    Begin(usize),
    /// A start reaches its runner.
    Runner(usize, StartResult),
    /// A node is killed and restarts.
    Kill(usize),
    /// A node is paused.
    Pause(usize),
    /// A paused node resumes.
    Resume(usize),
    /// The store becomes unavailable, or available again.
    Outage(bool),
    /// The time advances by milliseconds.
    Advance(u64),
}

pub fn step() -> impl Strategy<Value = Step> {
    let index = 0..8_usize;
    let fault = prop_oneof![
        6 => proptest::strategy::Just(Fault::None),
        2 => proptest::strategy::Just(Fault::ResponseLost),
        1 => proptest::strategy::Just(Fault::Late),
        1 => proptest::strategy::Just(Fault::Refused),
    ];
    let result = prop_oneof![
        4 => proptest::strategy::Just(StartResult::Runs),
        1 => proptest::strategy::Just(StartResult::Refused),
        1 => proptest::strategy::Just(StartResult::RunnerFails),
        1 => proptest::strategy::Just(StartResult::LostBefore),
        1 => proptest::strategy::Just(StartResult::RunsLate),
    ];
    prop_oneof![
        6 => (index.clone(), index.clone()).prop_map(|(node, key)| Step::Call(node, key)),
        10 => (index.clone(), fault).prop_map(|(op, fault)| Step::Store(op, fault)),
        5 => index.clone().prop_map(Step::Begin),
        5 => (index.clone(), result).prop_map(|(start, result)| Step::Runner(start, result)),
        1 => index.clone().prop_map(Step::Kill),
        1 => index.clone().prop_map(Step::Pause),
        2 => index.prop_map(Step::Resume),
        1 => proptest::bool::ANY.prop_map(Step::Outage),
        6 => prop_oneof![1..20_u64, 200..2_000_u64, 10_000..60_000_u64].prop_map(Step::Advance),
    ]
}

/// A start in flight to a runner.
#[derive(Debug)]
struct Start {
    node: usize,
    incarnation: u64,
    call: u64,
    key: usize,
}

/// The nodes, the store and what callers and backend servers observed.
pub struct Fleet {
    nodes: Vec<Node>,
    store: Store,
    operations: Vec<Operation>,
    starts: Vec<Start>,
    /// Starts reported as lost that run later.
    delayed_starts: Vec<Start>,
    millis: u64,
    call_count: u64,
    /// Key and node of each call.
    calls_by_id: BTreeMap<u64, (usize, usize)>,
    answered: BTreeSet<u64>,
    told_not_run: BTreeSet<u64>,
    /// Calls whose request ran, by key.
    runs: BTreeMap<usize, Vec<u64>>,
    pub problems: Vec<String>,
}

pub fn key(index: usize) -> Key {
    let account = "hotline".parse().expect("valid account");
    Key::new(account, &format!("order-{index}")).expect("valid key")
}

impl Fleet {
    pub fn new(ignores_versions: bool) -> Self {
        Self {
            nodes: (0..NODES).map(|index| Node::new(index, 1)).collect(),
            store: Store::new(ignores_versions),
            operations: Vec::new(),
            starts: Vec::new(),
            delayed_starts: Vec::new(),
            millis: 1_000,
            call_count: 0,
            calls_by_id: BTreeMap::new(),
            answered: BTreeSet::new(),
            told_not_run: BTreeSet::new(),
            runs: BTreeMap::new(),
            problems: Vec::new(),
        }
    }

    /// Runs a schedule, then completes all pending work without faults and checks the results.
    pub fn run(&mut self, steps: &[Step]) {
        for step in steps {
            self.step(*step);
            self.millis += 1;
        }
        self.step(Step::Outage(false));
        (0..NODES).for_each(|node| self.step(Step::Resume(node)));
        for _ in 0..400 {
            self.step(Step::Store(0, Fault::None));
            self.step(Step::Begin(0));
            self.step(Step::Runner(0, StartResult::Runs));
            self.step(Step::Advance(50));
        }
        self.check_end();
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Call(node, key) => self.call(node % NODES, key % KEYS),
            Step::Store(index, fault) => self.execute_operation(index, fault),
            Step::Begin(node) => self.start_request(node),
            Step::Runner(index, result) => self.deliver_start(index, result),
            Step::Kill(node) => self.kill(node % NODES),
            Step::Pause(node) => self.nodes[node % NODES].paused = true,
            Step::Resume(node) => self.resume(node % NODES),
            Step::Outage(unavailable) => self.store.unavailable = unavailable,
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
        self.call_count += 1;
        self.calls_by_id.insert(self.call_count, (index, node));
        let account = "hotline".parse().expect("valid account");
        let request = ClaimRequest {
            call: CallId(self.call_count),
            key: key(index),
            fingerprint: Fingerprint::of(&account, "/orders", b"crew to street 5"),
            attempt: Attempt::new(u128::from(self.call_count)),
            until: now.wall + DEADLINE,
            start_by: now.moment + DEADLINE,
            answer_by: now.moment + ANSWER_TIMEOUT,
        };
        self.send(node, Event::Claim(request));
    }

    fn send(&mut self, node: usize, event: Event) {
        let now = self.now();
        let actions = self.nodes[node].handle_or_queue(now, event);
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
        let key = self.calls_by_id[&call].0;
        match answer {
            Answer::Granted(claim) => self.nodes[node].granted.push((call, claim)),
            Answer::Unavailable | Answer::Full => {
                self.told_not_run.insert(call);
            }
            Answer::Finished(Outcome::Done(_)) if !self.runs.contains_key(&key) => {
                self.problems.push(format!("key {key} was reported as done and never ran"));
            }
            _ => {}
        }
    }

    fn execute_operation(&mut self, index: usize, fault: Fault) {
        if self.operations.is_empty() {
            return;
        }
        let mut operation = self.operations.remove(index % self.operations.len());
        let (node, incarnation) = (operation.node, operation.incarnation);
        let timed_out = operation.timed_out;
        let event = self.store.execute(&mut operation, fault);
        if operation.timed_out && !timed_out {
            self.operations.push(operation);
        }
        if !timed_out && self.nodes[node].incarnation == incarnation {
            self.send(node, event);
        }
    }

    /// Starts the request of the oldest granted claim of `node`, or else of the next running node.
    fn start_request(&mut self, node: usize) {
        let node = (0..NODES)
            .map(|step| (node + step) % NODES)
            .find(|node| !self.nodes[*node].paused && !self.nodes[*node].granted.is_empty());
        let Some(node) = node else {
            return;
        };
        let now = self.now();
        let (call, claim) = self.nodes[node].granted.remove(0);
        let key = self.calls_by_id[&call].0;
        match claim.start(now) {
            Ok(started) => {
                let incarnation = self.nodes[node].incarnation;
                self.nodes[node].started.insert(call, started);
                self.starts.push(Start { node, incarnation, call, key });
            }
            Err(lapsed) => self.release(node, call, lapsed.0.release()),
        }
    }

    /// Releases a claim and tells its caller "not run".
    ///
    /// A granted claim is the only one for its key, so "not run" must hold for every call with
    /// the key.
    fn release(&mut self, node: usize, call: u64, release: Event) {
        let key = self.calls_by_id[&call].0;
        if self.runs.contains_key(&key) {
            self.problems.push(format!("key {key} ran and call {call} was told not run"));
        }
        self.told_not_run.insert(call);
        self.send(node, release);
    }

    fn deliver_start(&mut self, index: usize, result: StartResult) {
        if !self.delayed_starts.is_empty() && matches!(result, StartResult::Runs) {
            let start = self.delayed_starts.remove(0);
            self.runs.entry(start.key).or_default().push(start.call);
        }
        if self.starts.is_empty() {
            return;
        }
        let start = self.starts.remove(index % self.starts.len());
        if matches!(result, StartResult::Runs | StartResult::RunnerFails) {
            self.runs.entry(start.key).or_default().push(start.call);
        }
        let (node, call) = (start.node, start.call);
        let same_incarnation = self.nodes[node].incarnation == start.incarnation;
        if matches!(result, StartResult::RunsLate) {
            self.delayed_starts.push(start);
        }
        let claim = self.nodes[node].started.remove(&call).filter(|_| same_incarnation);
        let Some(claim) = claim else {
            return;
        };
        match result {
            StartResult::Runs => {
                let outcome = Outcome::Done(Response::new(200, "text/plain", b"sent"));
                self.send(node, claim.finish(outcome));
            }
            StartResult::Refused => {
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
        let lost_calls: Vec<u64> =
            self.calls_by_id.iter().filter(|(_, at)| at.1 == node).map(|(call, _)| *call).collect();
        self.answered.extend(lost_calls);
    }

    fn resume(&mut self, node: usize) {
        let now = self.now();
        self.nodes[node].paused = false;
        for event in std::mem::take(&mut self.nodes[node].queued) {
            let actions = self.nodes[node].handle_or_queue(now, event);
            self.carry_out(node, actions);
        }
    }

    fn check_end(&mut self) {
        for (key, calls) in &self.runs {
            if calls.len() > 1 {
                self.problems.push(format!("key {key} started {} times", calls.len()));
            }
            for call in calls.iter().filter(|call| self.told_not_run.contains(call)) {
                self.problems.push(format!("call {call} started and was told not run"));
            }
        }
        for call in self.calls_by_id.keys().filter(|call| !self.answered.contains(call)) {
            self.problems.push(format!("call {call} was never answered"));
        }
    }
}
