use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use kumquattiller_base::daemon;
use kumquattiller_base::runner;
use kumquattiller_base::time::Moment;

use crate::load::Assignment;
use crate::load::Demand;
use crate::load::GAP_GROUPS;
use crate::load::Load;
use crate::load::Meter;
use crate::load::Streams;
use crate::load::gap_group;
use crate::load::server_key;

/// How long what a peer said of its load counts.
const PEER_LOAD_MAX_AGE: Duration = Duration::from_millis(600);
/// Least part of the work of unread prompts that is taken as left until their first event shows
/// that they are read.
const MIN_BACKLOG_FRACTION: f64 = 0.15;
/// Reading below which a server counts as having nothing to read: what rounding leaves.
const MIN_PREFILL_MS: f64 = 1e-6;

/// Names a request in the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(u64);

#[derive(Debug)]
struct Entry {
    assignments: Vec<Assignment>,
    prefilling: bool,
    /// Whether its stream has begun and is on time.
    on_time: bool,
}

#[derive(Debug, Default, Clone)]
struct LocalLoad {
    /// Requests that the server writes or will write.
    keys: Vec<Key>,
    /// Reading that was sent to the server since this daemon started.
    sent_ms: f64,
    backlog_ms: f64,
    requests: u32,
    interactive: u32,
    decoding: u32,
    memory: u64,
}

/// What a peer says of one server.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ReportedLoad {
    /// What the peer has in flight there.
    pub load: Load,
    /// Reading that the peer sent there since it started, in milliseconds.
    pub sent_ms: f64,
}

#[derive(Debug, Default)]
struct Peer {
    at: Moment,
    demand: Demand,
    /// The servers where it has something in flight.
    loads: HashMap<u64, ReportedLoad>,
}

/// The requests in flight of this daemon, and what its peers say of theirs.
#[derive(Debug, Default)]
pub struct Ledger {
    next: u64,
    entries: BTreeMap<Key, Entry>,
    local: HashMap<runner::Id, LocalLoad>,
    /// When each server has read all that the daemons are known to have sent.
    backlog_until: HashMap<u64, Moment>,
    peers: HashMap<daemon::Id, Peer>,
    meter: Meter,
}

impl Ledger {
    /// Enters a request that is being sent; `works` names each server that takes part.
    pub fn start(&mut self, assignments: Vec<Assignment>, now: Moment) -> Key {
        let key = Key(self.next);
        self.next += 1;
        for assignment in &assignments {
            let local = self.local.entry(assignment.server.clone()).or_default();
            local.sent_ms += assignment.prefill_ms;
            local.backlog_ms += assignment.prefill_ms;
            local.memory += assignment.memory.get();
            if !assignment.helper {
                local.requests += 1;
                local.keys.push(key);
            }
            self.enqueue(server_key(&assignment.server), assignment.prefill_ms, now);
        }
        self.entries.insert(key, Entry { assignments, prefilling: true, on_time: false });
        key
    }

    /// Adds to what a server has to read.
    fn enqueue(&mut self, server: u64, prefill_ms: f64, now: Moment) {
        let until = self.backlog_until.entry(server).or_default();
        *until = (*until).max(now) + Duration::from_secs_f64(prefill_ms / 1e3);
    }

    /// Notes that the first event of a request has come: its prompt is read.
    pub fn first_event(&mut self, key: Key, on_time: bool) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        if !std::mem::take(&mut entry.prefilling) {
            return;
        }
        entry.on_time = on_time;
        for assignment in &entry.assignments {
            finish_prefill(&mut self.local, assignment);
            if let Some(local) =
                self.local.get_mut(&assignment.server).filter(|_| !assignment.helper)
            {
                local.interactive += u32::from(assignment.is_interactive());
                local.decoding += 1;
            }
        }
    }

    /// Notes that a stream is late already, so that it has nothing more to lose.
    pub fn mark_late(&mut self, key: Key) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.on_time = false;
        }
    }

    /// Removes a request that has ended.
    pub fn end(&mut self, key: Key) {
        let Some(entry) = self.entries.remove(&key) else {
            return;
        };
        for assignment in &entry.assignments {
            if entry.prefilling {
                finish_prefill(&mut self.local, assignment);
            }
            let Some(local) = self.local.get_mut(&assignment.server) else {
                continue;
            };
            local.memory -= assignment.memory.get();
            if assignment.helper {
                continue;
            }
            local.requests -= 1;
            local.keys.retain(|k| *k != key);
            if !entry.prefilling {
                local.interactive -= u32::from(assignment.is_interactive());
                local.decoding -= 1;
            }
        }
    }

    /// Takes in what a peer says of its own requests.
    pub fn update_peer(
        &mut self,
        peer: daemon::Id,
        demand: Demand,
        loads: HashMap<u64, ReportedLoad>,
        now: Moment,
    ) {
        let before = self.peers.remove(&peer).unwrap_or_default();
        for (server, reported) in &loads {
            self.enqueue(*server, before.newly_sent_ms(*server, reported), now);
        }
        self.peers.insert(peer, Peer { at: now, demand, loads });
    }

    /// Counts a request that came to this daemon.
    pub fn record_demand(&mut self, long_ms: f64, short: bool, now: Moment) {
        self.meter.record(long_ms, short, now);
    }

    /// Returns what callers ask of this daemon.
    pub fn local_demand(&self, now: Moment) -> Demand {
        self.meter.rates(now)
    }

    /// Returns what callers ask of all daemons.
    pub fn demand(&self, now: Moment) -> Demand {
        self.peers.values().fold(self.meter.rates(now), |sum, peer| sum + peer.demand)
    }

    /// Forgets peers that have said nothing for long, and servers that are not known any more.
    pub fn expire(&mut self, now: Moment, known: impl Fn(&runner::Id) -> bool) {
        self.peers.retain(|_, peer| now.since(peer.at) <= PEER_LOAD_MAX_AGE);
        self.backlog_until.retain(|_, until| *until > now);
        self.local.retain(|id, local| local.is_busy() || known(id));
    }

    /// Returns what this daemon has in flight at a server. A prompt counts as unread as a whole
    /// until its first event has come.
    pub fn local_load(&self, server: &runner::Id) -> Load {
        let Some(local) = self.local.get(server) else {
            return Load::default();
        };
        Load { streams: self.streams(local), ..local.load() }
    }

    /// Returns what this daemon tells its peers: all servers where it has something in flight.
    pub fn report(&self) -> impl Iterator<Item = (u64, ReportedLoad)> {
        let busy = self.local.iter().filter(|(_, local)| local.is_busy());
        busy.map(|(id, local)| {
            (server_key(id), ReportedLoad { load: self.local_load(id), sent_ms: local.sent_ms })
        })
    }

    /// Returns what the peers have in flight at each server.
    pub fn peer_loads(&self, now: Moment) -> HashMap<u64, Load> {
        let mut sums: HashMap<u64, Load> = HashMap::new();
        for peer in self.peers.values().filter(|p| now.since(p.at) <= PEER_LOAD_MAX_AGE) {
            for (server, reported) in &peer.loads {
                let sum = sums.entry(*server).or_default();
                *sum = *sum + reported.load;
            }
        }
        sums
    }

    /// Returns what all daemons have in flight at a server, of which the peers told `told`. What is
    /// unread there is estimated: the server reads one prompt after the other, whichever daemon sent
    /// it.
    pub fn total_load(&self, server: &runner::Id, peers: Option<&Load>, now: Moment) -> Load {
        let sent = self.local_load(server) + peers.copied().unwrap_or_default();
        let until = self.backlog_until.get(&server_key(server)).copied().unwrap_or_default();
        let left_ms = until.since(now).as_secs_f64() * 1e3;
        let min_ms = sent.backlog_ms * MIN_BACKLOG_FRACTION;
        Load { backlog_ms: left_ms.max(min_ms).min(sent.backlog_ms), ..sent }
    }

    /// Returns what all daemons have in flight at one server.
    pub fn server_load(&self, server: &runner::Id, now: Moment) -> Load {
        let key = server_key(server);
        let fresh = self.peers.values().filter(|p| now.since(p.at) <= PEER_LOAD_MAX_AGE);
        let reported = fresh.filter_map(|p| p.loads.get(&key));
        let sum = reported.fold(Load::default(), |sum, reported| sum + reported.load);
        self.total_load(server, Some(&sum), now)
    }

    /// Returns the streams that this daemon has at a server and that are on time.
    fn streams(&self, local: &LocalLoad) -> [Streams; GAP_GROUPS] {
        let mut streams = [Streams::default(); GAP_GROUPS];
        let entries = local.keys.iter().filter_map(|key| self.entries.get(key));
        for assignment in entries.filter(|e| e.on_time).filter_map(|e| e.assignments.first()) {
            let group = gap_group(assignment.target_gap);
            streams[group] = streams[group] + assignment.stream();
        }
        streams
    }

    /// Returns the number of requests in flight here.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no request is in flight here.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// Takes a prompt off what a server has to read.
fn finish_prefill(local: &mut HashMap<runner::Id, LocalLoad>, assignment: &Assignment) {
    if let Some(local) = local.get_mut(&assignment.server) {
        local.backlog_ms -= assignment.prefill_ms;
        if local.backlog_ms < MIN_PREFILL_MS {
            local.backlog_ms = 0.0;
        }
    }
}

impl LocalLoad {
    fn is_busy(&self) -> bool {
        self.requests > 0 || self.backlog_ms > 0.0 || self.memory > 0
    }

    fn load(&self) -> Load {
        Load {
            backlog_ms: self.backlog_ms,
            requests: self.requests,
            interactive: self.interactive,
            decoding: self.decoding,
            streams: Default::default(),
            memory: self.memory,
        }
    }
}

impl Peer {
    /// Returns how much reading the peer sent to a server since it last told of it. Where it had
    /// nothing in flight, was not heard or started anew, that is what is unread now.
    fn newly_sent_ms(&self, server: u64, now: &ReportedLoad) -> f64 {
        match self.loads.get(&server) {
            Some(before) if before.sent_ms <= now.sent_ms => now.sent_ms - before.sent_ms,
            _ => now.load.backlog_ms,
        }
    }
}
