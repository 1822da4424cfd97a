//! Prints the store writes per 1,000 claims at several arrival rates.
//!
//! `cargo run --release -p kumquattiller-claims --example writes`

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use kumquattiller_base::daemon;
use kumquattiller_base::fingerprint::Fingerprint;
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
use kumquattiller_claims::ReadResult;
use kumquattiller_claims::Response;
use kumquattiller_claims::Settings;
use kumquattiller_claims::Shard;
use kumquattiller_claims::Timestamp;
use kumquattiller_claims::WriteResult;
use kumquattiller_claims::Writer;
use kumquattiller_claims::preferred_writer;
use kumquattiller_claims::shard::Number;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SEED: u64 = 1;
const CLAIMS: u64 = 2_000;
const DEADLINE: Duration = Duration::from_secs(30);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
const STORE_LATENCY_MICROS: u64 = 5_000;
const MEAN_SERVICE_SECONDS: f64 = 0.4;
const TICK_MICROS: u64 = 1_000;
const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// An event of the simulation; the queue orders events by time.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Occurrence {
    Arrival(u64),
    StoreResponse(usize, usize),
    RequestEnd(usize, usize),
    Tick,
}

/// A simulation of several writers that share one store.
struct Simulation {
    daemons: Vec<daemon::Id>,
    writers: Vec<Writer>,
    route_to_preferred: bool,
    objects: std::collections::BTreeMap<Number, (u64, Shard)>,
    version: u64,
    operations: Vec<Option<Action>>,
    pending_outcomes: Vec<Option<Event>>,
    queue: BinaryHeap<Reverse<(u64, Occurrence)>>,
    rng: ChaCha8Rng,
    arrival_micros: Vec<u64>,
    wait_micros: Vec<u64>,
    writes: u64,
    reads: u64,
    conflicts: u64,
}

impl Simulation {
    fn new(daemons: usize, settings: Settings, route_to_preferred: bool) -> Self {
        let name = |index: usize| format!("entry-{index}").parse().expect("valid name");
        let daemons: Vec<daemon::Id> = (0..daemons).map(name).collect();
        let build = |id: &daemon::Id| Writer::new(id.clone(), 1.into(), settings);
        let writers = daemons.iter().map(build).collect();
        Self {
            daemons,
            writers,
            route_to_preferred,
            objects: Default::default(),
            version: 0,
            operations: Vec::new(),
            pending_outcomes: Vec::new(),
            queue: BinaryHeap::new(),
            rng: ChaCha8Rng::seed_from_u64(SEED),
            arrival_micros: vec![0; CLAIMS as usize],
            wait_micros: Vec::new(),
            writes: 0,
            reads: 0,
            conflicts: 0,
        }
    }

    fn exponential_micros(&mut self, mean_seconds: f64) -> u64 {
        let uniform: f64 = self.rng.random();
        (-(1.0 - uniform).ln() * mean_seconds * MICROS_PER_SECOND) as u64
    }

    fn run(&mut self, rate: f64) {
        let mut at = 0;
        for call in 0..CLAIMS {
            at += self.exponential_micros(1.0 / rate);
            self.queue.push(Reverse((at, Occurrence::Arrival(call))));
        }
        self.queue.push(Reverse((0, Occurrence::Tick)));
        while let Some(Reverse((at, occurrence))) = self.queue.pop() {
            match occurrence {
                Occurrence::Arrival(call) => self.claim(at, call),
                Occurrence::StoreResponse(node, index) => self.complete_operation(at, node, index),
                Occurrence::RequestEnd(node, index) => {
                    let event = self.pending_outcomes[index].take().expect("one end");
                    self.send(at, node, event);
                }
                Occurrence::Tick => {
                    (0..self.writers.len()).for_each(|node| self.send(at, node, Event::Tick));
                    let idle = self.writers.iter().all(Writer::is_idle);
                    if !(self.queue.is_empty() && idle) {
                        self.queue.push(Reverse((at + TICK_MICROS, Occurrence::Tick)));
                    }
                }
            }
        }
    }

    fn claim(&mut self, at: u64, call: u64) {
        let account = "ledger".parse().expect("valid account");
        let key = Key::new(account, &format!("post-{call}")).expect("valid key");
        let random = self.rng.random_range(0..self.daemons.len());
        let preferred = preferred_writer(Number::of(&key), &self.daemons);
        let preferred = preferred.and_then(|id| self.daemons.iter().position(|other| other == id));
        let node = preferred.filter(|_| self.route_to_preferred).unwrap_or(random);
        let now = now(at);
        self.arrival_micros[call as usize] = at;
        let request = ClaimRequest {
            call: CallId(call),
            key,
            fingerprint: Fingerprint::new(u128::from(call)),
            attempt: Attempt::new(u128::from(call)),
            until: now.wall + DEADLINE,
            start_by: now.moment + DEADLINE,
            answer_by: now.moment + ANSWER_TIMEOUT,
        };
        self.send(at, node, Event::Claim(request));
    }

    fn send(&mut self, at: u64, node: usize, event: Event) {
        for action in self.writers[node].handle(now(at), event) {
            let Action::Reply(call, answer) = action else {
                self.operations.push(Some(action));
                let occurrence = Occurrence::StoreResponse(node, self.operations.len() - 1);
                self.queue.push(Reverse((at + STORE_LATENCY_MICROS, occurrence)));
                continue;
            };
            let Answer::Granted(claim) = answer else {
                panic!("call {call:?} got {answer:?}");
            };
            self.wait_micros.push(at - self.arrival_micros[call.0 as usize]);
            let started = claim.start(now(at)).expect("in time");
            let response = Response::new(200, "application/json", b"{\"posted\":true}");
            self.pending_outcomes.push(Some(started.finish(Outcome::Done(response))));
            let end = at + self.exponential_micros(MEAN_SERVICE_SECONDS);
            self.queue.push(Reverse((
                end,
                Occurrence::RequestEnd(node, self.pending_outcomes.len() - 1),
            )));
        }
    }

    fn complete_operation(&mut self, at: u64, node: usize, index: usize) {
        let event = match self.operations[index].take().expect("one response") {
            Action::Read(number) => {
                self.reads += 1;
                Event::Read(number, ReadResult::Found(self.objects.get(&number).cloned()))
            }
            Action::Write { number, version, shard } => {
                self.writes += 1;
                let current = self.objects.get(&number).map(|object| object.0);
                let result = if current == version {
                    self.version += 1;
                    self.objects.insert(number, (self.version, shard));
                    WriteResult::Written(self.version)
                } else {
                    self.conflicts += 1;
                    WriteResult::Conflict
                };
                Event::Write(number, result)
            }
            Action::Reply(..) => unreachable!("replies are not store operations"),
        };
        self.send(at, node, event);
    }
}

fn now(micros: u64) -> Now {
    let wall = Timestamp::from_millis(1_000_000 + micros / 1_000);
    Now { moment: Moment::from_micros(micros), wall }
}

fn main() {
    println!("| daemons | claims/s | routed | writes | reads | conflicts | wait p50 ms | p99 ms |");
    println!("|---|---|---|---|---|---|---|---|");
    for daemons in [1, 3] {
        for rate in [10.0, 50.0, 200.0, 1_000.0, 5_000.0] {
            for route_to_preferred in [false, true] {
                if route_to_preferred && daemons == 1 {
                    continue;
                }
                let mut simulation =
                    Simulation::new(daemons, Settings::default(), route_to_preferred);
                simulation.run(rate);
                simulation.wait_micros.sort_unstable();
                let wait = |q: usize| {
                    simulation.wait_micros[simulation.wait_micros.len() * q / 100] as f64 / 1_000.0
                };
                let per_thousand = |count: u64| count * 1_000 / CLAIMS;
                println!(
                    "| {daemons} | {rate} | {} | {} | {} | {} | {:.1} | {:.1} |",
                    if route_to_preferred { "preferred" } else { "random" },
                    per_thousand(simulation.writes),
                    per_thousand(simulation.reads),
                    per_thousand(simulation.conflicts),
                    wait(50),
                    wait(99),
                );
            }
        }
    }
}
