//! Simulation of a fleet of nodes with a queue of events and a virtual clock.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use kumquattiller_base::time::Moment;
use kumquattiller_inventory::Version;
use kumquattiller_inventory::diff::Delta;
use kumquattiller_inventory::section::Items;
use kumquattiller_inventory::section::Section;
use kumquattiller_rollout::replica::State;
use kumquattiller_rollout::spread::Action;
use kumquattiller_rollout::spread::Message;
use kumquattiller_rollout::spread::Node;
use kumquattiller_rollout::spread::is_watcher;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;

/// Time between two timer ticks of a process.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Peers that a process has in each other zone.
const PEERS_PER_OTHER_ZONE: usize = 2;
/// Time after a commit in which no store outage may begin, so that each watcher reads the store
/// once.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The process is suspended, then continues with its state and the messages that arrived.
    Pause,
    /// The process is isolated from all peers and from the store.
    Isolate,
    /// The process is down, then starts without any state.
    Restart,
    /// The store is unreachable for all processes.
    StoreOutage,
}

enum Event {
    Tick(usize),
    Message(usize, usize, Message),
    Commit,
}

#[derive(Default)]
struct Process {
    node: Node,
    zone: usize,
    is_daemon: bool,
    highest_adopted: Version,
    faults: Vec<(Moment, Moment, Fault)>,
}

impl Process {
    fn has_fault(&self, at: Moment, fault: Fault) -> bool {
        self.faults.iter().any(|(from, to, kind)| *kind == fault && *from <= at && at < *to)
    }

    fn pause_ends_at(&self, at: Moment) -> Option<Moment> {
        let here = self.faults.iter().filter(|(from, to, _)| *from <= at && at < *to);
        here.filter(|(_, _, kind)| *kind == Fault::Pause).map(|(_, to, _)| *to).max()
    }

    fn has_any_fault(&self, from: Moment, to: Moment) -> bool {
        self.faults.iter().any(|(start, end, _)| *start <= to && from < *end)
    }
}

pub struct Fleet {
    now: Moment,
    rng: ChaCha8Rng,
    queue: BTreeMap<(Moment, u64), Event>,
    next_sequence: u64,
    processes: Vec<Process>,
    outages: Vec<(Moment, Moment)>,
    store: Vec<(Moment, Arc<Items>, Arc<Delta>)>,
    reverts: usize,
}

impl Fleet {
    /// Creates `zones` zones with `daemons` daemons and `runners` runners each; the daemons of a
    /// zone come first.
    pub fn new(seed: u64, zones: usize, daemons: usize, runners: usize) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let (queue, store, outages) = (BTreeMap::new(), Vec::new(), Vec::new());
        let mut fleet = Self {
            now: Moment::ZERO,
            rng,
            queue,
            next_sequence: 0,
            processes: Vec::new(),
            outages,
            store,
            reverts: 0,
        };
        for zone in 0..zones {
            for n in 0..daemons + runners {
                let is_daemon = n < daemons;
                fleet.processes.push(Process { zone, is_daemon, ..Process::default() });
            }
        }
        for n in 0..fleet.processes.len() {
            fleet.connect(n);
            let first = Moment::ZERO + Duration::from_millis(fleet.rng.random_range(0..250));
            fleet.push(first, Event::Tick(n));
        }
        fleet.accept_next_version();
        fleet
    }

    fn connect(&mut self, n: usize) {
        let own = self.processes[n].zone;
        let mut daemons_seen: BTreeMap<usize, usize> = BTreeMap::new();
        let mut peers = Vec::new();
        for (m, other) in self.processes.iter().enumerate() {
            let same_zone = other.zone == own && (other.is_daemon || self.processes[n].is_daemon);
            let count = daemons_seen.entry(other.zone).or_default();
            *count += usize::from(other.is_daemon);
            let chosen = same_zone
                || (other.zone != own && other.is_daemon && *count <= PEERS_PER_OTHER_ZONE);
            if m != n && chosen {
                peers.push(m.to_string());
            }
        }
        self.processes[n].node.set_peers(peers);
    }

    pub fn commit_at(&mut self, at: Moment) {
        self.push(at, Event::Commit);
    }

    pub fn fault_at(&mut self, at: Moment, duration: Duration, process: usize, fault: Fault) {
        if fault == Fault::StoreOutage {
            self.outages.push((at, at + duration));
            return;
        }
        let count = self.processes.len();
        self.processes[process % count].faults.push((at, at + duration, fault));
    }

    fn push(&mut self, at: Moment, event: Event) {
        self.next_sequence += 1;
        self.queue.insert((at, self.next_sequence), event);
    }

    fn accept_next_version(&mut self) {
        let version = Version::new(self.store.len() as u64 + 1);
        let (base, old) = self
            .store
            .last()
            .map_or_else(Default::default, |(_, items, delta)| (delta.version, Arc::clone(items)));
        let mut items = (*old).clone();
        let id = format!("a{}", version.get() % 5);
        let value = json!({"id": id, "credential": version.get()});
        items.insert(Section::Accounts, id, value);
        let delta = Delta::between((base, &old), (version, &items));
        self.store.push((self.now, Arc::new(items), Arc::new(delta)));
    }

    fn store_is_up(&self) -> bool {
        !self.outages.iter().any(|(from, to)| *from <= self.now && self.now < *to)
    }

    /// Returns whether the store is up and stays up until each watcher has read it once.
    fn accepts_commits(&self) -> bool {
        let watched_by = self.now + WATCH_INTERVAL;
        !self.outages.iter().any(|(from, to)| *from <= watched_by && self.now < *to)
    }

    pub fn run_until(&mut self, end: Moment) {
        while let Some(entry) = self.queue.first_entry() {
            let at = entry.key().0;
            if at > end {
                break;
            }
            let event = entry.remove();
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Commit if self.accepts_commits() => self.accept_next_version(),
            Event::Commit => {}
            Event::Tick(n) => match self.processes[n].pause_ends_at(self.now) {
                Some(resumed_at) => self.push(resumed_at, Event::Tick(n)),
                None => {
                    self.push(self.now + TICK_INTERVAL, Event::Tick(n));
                    self.tick(n);
                }
            },
            Event::Message(from, to, message) => match self.processes[to].pause_ends_at(self.now) {
                Some(resumed_at) => self.push(resumed_at, Event::Message(from, to, message)),
                None if self.is_reachable(to) => {
                    let node = &mut self.processes[to].node;
                    let actions =
                        node.on_message(&from.to_string(), message, self.now, &mut self.rng);
                    self.run_actions(to, actions);
                }
                None => {}
            },
        }
    }

    fn is_reachable(&self, n: usize) -> bool {
        let process = &self.processes[n];
        !process.has_fault(self.now, Fault::Isolate) && !process.has_fault(self.now, Fault::Restart)
    }

    fn tick(&mut self, n: usize) {
        if self.processes[n].has_fault(self.now, Fault::Restart) {
            self.processes[n].node = Node::default();
            self.processes[n].highest_adopted = Version::NONE;
            self.connect(n);
            return;
        }
        let actions = self.processes[n].node.tick(self.now, &mut self.rng);
        self.run_actions(n, actions);
        let zone = self.processes[n].zone;
        let members =
            self.processes.iter().enumerate().filter(|(_, p)| p.zone == zone && p.is_daemon);
        let names: Vec<String> = members.map(|(m, _)| m.to_string()).collect();
        let watches = self.processes[n].is_daemon
            && is_watcher(&zone.to_string(), &n.to_string(), names.iter().map(String::as_str));
        if watches && self.store_is_up() && self.is_reachable(n) {
            self.watch_store(n);
        }
    }

    fn watch_store(&mut self, n: usize) {
        let delta = Arc::clone(&self.store.last().expect("the store has a first version").2);
        let node = &mut self.processes[n].node;
        let actions = node.on_store_delta(&delta, self.now, self.now, &mut self.rng);
        self.run_actions(n, actions);
    }

    fn run_actions(&mut self, n: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    let delay = Duration::from_micros(self.rng.random_range(300..5_000));
                    let to = to.parse().expect("peers are numbers");
                    if self.is_reachable(n) {
                        self.push(self.now + delay, Event::Message(n, to, message));
                    }
                }
                Action::Adopt => self.record_adoption(n),
                Action::ReadStore => {
                    let (_, items, delta) =
                        self.store.last().expect("the store has a first version");
                    let full = Arc::new(Delta::full(delta.version, items));
                    let node = &mut self.processes[n].node;
                    let actions = node.on_store_delta(&full, self.now, self.now, &mut self.rng);
                    self.run_actions(n, actions);
                }
            }
        }
    }

    fn record_adoption(&mut self, n: usize) {
        let process = &mut self.processes[n];
        let replica = process.node.replica();
        let version = replica.version();
        let (_, items, _) = &self.store[version.get() as usize - 1];
        let same = replica.items().digest() == items.digest();
        self.reverts += usize::from(version <= process.highest_adopted || !same);
        process.highest_adopted = version;
    }

    /// Returns the highest version that was accepted at or before `at`.
    fn accepted_by(&self, at: Moment) -> Version {
        let accepted = self.store.iter().filter(|(when, _, _)| *when <= at);
        Version::new(accepted.count() as u64)
    }

    /// Returns the processes that lack a version accepted `duration` ago, without those that had a
    /// fault since then.
    pub fn lagging(&self, duration: Duration) -> Vec<(usize, Version)> {
        let from = self.now - duration;
        let due = self.accepted_by(from);
        let healthy = |p: &&(usize, &Process)| !p.1.has_any_fault(from, self.now);
        let all: Vec<(usize, &Process)> = self.processes.iter().enumerate().collect();
        let lagging = all.iter().filter(healthy).filter(|(_, p)| p.node.replica().version() < due);
        lagging
            .filter(|_| from > Moment::ZERO)
            .map(|(n, p)| (*n, p.node.replica().version()))
            .collect()
    }

    /// Returns the processes that are ready with a lower version than was accepted `duration` ago.
    pub fn ready_but_outdated(&self, duration: Duration) -> Vec<(usize, Version)> {
        let due = self.accepted_by(self.now - duration);
        let all = self.processes.iter().enumerate();
        let ready = all.filter(|(_, p)| p.node.state(self.now).is_ready());
        let outdated = ready.filter(|(_, p)| p.node.replica().version() < due);
        outdated.map(|(n, p)| (n, p.node.replica().version())).collect()
    }

    pub const fn reverts(&self) -> usize {
        self.reverts
    }

    pub fn state(&self, n: usize) -> State {
        self.processes[n].node.state(self.now)
    }

    pub fn version(&self, n: usize) -> Version {
        self.processes[n].node.replica().version()
    }

    pub fn accepted(&self) -> Version {
        self.accepted_by(self.now)
    }
}
