use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use kumquattiller_base::daemon;
use kumquattiller_base::runner;
use kumquattiller_base::time::Moment;

use crate::load::Demand;
use crate::load::GROUPS;
use crate::load::Load;
use crate::load::Meter;
use crate::load::Streams;
use crate::load::Work;
use crate::load::group_of;
use crate::load::key_of;

/// How long what a peer said of its load counts.
const PEER_LOAD_AGE: Duration = Duration::from_millis(600);
/// Least part of the work of unread prompts that is taken as left until their first event shows
/// that they are read.
const UNREAD_FLOOR: f64 = 0.15;
/// Reading below which a server counts as having nothing to read: what rounding leaves.
const LEAST_READING_MS: f64 = 1e-6;

/// Names a request in the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(u64);

#[derive(Debug)]
struct Entry {
    works: Vec<Work>,
    reading: bool,
    /// Whether its stream has begun and is on time.
    on_time: bool,
}

#[derive(Debug, Default, Clone)]
struct Own {
    /// Requests that the server writes or will write.
    keys: Vec<Key>,
    /// Reading that was sent to the server since this daemon started.
    sent_ms: f64,
    reading_ms: f64,
    requests: u32,
    tight: u32,
    writing: u32,
    memory: u64,
}

/// What a peer says of one server.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Told {
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
    told: HashMap<u64, Told>,
}

/// The requests in flight of this daemon, and what its peers say of theirs.
#[derive(Debug, Default)]
pub struct Ledger {
    next: u64,
    entries: BTreeMap<Key, Entry>,
    own: HashMap<runner::Id, Own>,
    /// When each server has read all that the daemons are known to have sent.
    read_until: HashMap<u64, Moment>,
    peers: HashMap<daemon::Id, Peer>,
    meter: Meter,
}

impl Ledger {
    /// Enters a request that is being sent; `works` names each server that takes part.
    pub fn start(&mut self, works: Vec<Work>, now: Moment) -> Key {
        let key = Key(self.next);
        self.next += 1;
        for work in &works {
            let own = self.own.entry(work.server.clone()).or_default();
            own.sent_ms += work.read_ms;
            own.reading_ms += work.read_ms;
            own.memory += work.memory.get();
            if !work.helper {
                own.requests += 1;
                own.keys.push(key);
            }
            self.enqueue(key_of(&work.server), work.read_ms, now);
        }
        self.entries.insert(key, Entry { works, reading: true, on_time: false });
        key
    }

    /// Adds to what a server has to read.
    fn enqueue(&mut self, server: u64, read_ms: f64, now: Moment) {
        let until = self.read_until.entry(server).or_default();
        *until = (*until).max(now) + Duration::from_secs_f64(read_ms / 1e3);
    }

    /// Notes that the first event of a request has come: its prompt is read.
    pub fn read(&mut self, key: Key, on_time: bool) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        if !std::mem::take(&mut entry.reading) {
            return;
        }
        entry.on_time = on_time;
        for work in &entry.works {
            finish_reading(&mut self.own, work);
            if let Some(own) = self.own.get_mut(&work.server).filter(|_| !work.helper) {
                own.tight += u32::from(work.is_tight());
                own.writing += 1;
            }
        }
    }

    /// Notes that a stream is late already, so that it has nothing more to lose.
    pub fn late(&mut self, key: Key) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.on_time = false;
        }
    }

    /// Removes a request that has ended.
    pub fn end(&mut self, key: Key) {
        let Some(entry) = self.entries.remove(&key) else {
            return;
        };
        for work in &entry.works {
            if entry.reading {
                finish_reading(&mut self.own, work);
            }
            let Some(own) = self.own.get_mut(&work.server) else {
                continue;
            };
            own.memory -= work.memory.get();
            if work.helper {
                continue;
            }
            own.requests -= 1;
            own.keys.retain(|k| *k != key);
            if !entry.reading {
                own.tight -= u32::from(work.is_tight());
                own.writing -= 1;
            }
        }
    }

    /// Takes in what a peer says of its own requests.
    pub fn tell(
        &mut self,
        peer: daemon::Id,
        demand: Demand,
        told: HashMap<u64, Told>,
        now: Moment,
    ) {
        let before = self.peers.remove(&peer).unwrap_or_default();
        for (server, told) in &told {
            self.enqueue(*server, before.added(*server, told), now);
        }
        self.peers.insert(peer, Peer { at: now, demand, told });
    }

    /// Counts a request that came to this daemon.
    pub fn count(&mut self, long_ms: f64, short: bool, now: Moment) {
        self.meter.count(long_ms, short, now);
    }

    /// Returns what callers ask of this daemon.
    pub fn own_demand(&self, now: Moment) -> Demand {
        self.meter.read(now)
    }

    /// Returns what callers ask of all daemons.
    pub fn demand(&self, now: Moment) -> Demand {
        self.peers.values().fold(self.meter.read(now), |sum, peer| sum + peer.demand)
    }

    /// Forgets peers that have said nothing for long, and servers that are not known any more.
    pub fn expire(&mut self, now: Moment, known: impl Fn(&runner::Id) -> bool) {
        self.peers.retain(|_, peer| now.since(peer.at) <= PEER_LOAD_AGE);
        self.read_until.retain(|_, until| *until > now);
        self.own.retain(|id, own| own.has_work() || known(id));
    }

    /// Returns what this daemon has in flight at a server. A prompt counts as unread as a whole
    /// until its first event has come.
    pub fn own(&self, server: &runner::Id) -> Load {
        let Some(own) = self.own.get(server) else {
            return Load::default();
        };
        Load { streams: self.streams(own), ..own.load() }
    }

    /// Returns what this daemon tells its peers: all servers where it has something in flight.
    pub fn report(&self) -> impl Iterator<Item = (u64, Told)> {
        let busy = self.own.iter().filter(|(_, own)| own.has_work());
        busy.map(|(id, own)| (key_of(id), Told { load: self.own(id), sent_ms: own.sent_ms }))
    }

    /// Returns what the peers have in flight at each server.
    pub fn told(&self, now: Moment) -> HashMap<u64, Load> {
        let mut sums: HashMap<u64, Load> = HashMap::new();
        for peer in self.peers.values().filter(|p| now.since(p.at) <= PEER_LOAD_AGE) {
            for (server, told) in &peer.told {
                let sum = sums.entry(*server).or_default();
                *sum = *sum + told.load;
            }
        }
        sums
    }

    /// Returns what all daemons have in flight at a server, of which the peers told `told`. What is
    /// unread there is estimated: the server reads one prompt after the other, whichever daemon sent
    /// it.
    pub fn joined(&self, server: &runner::Id, told: Option<&Load>, now: Moment) -> Load {
        let sent = self.own(server) + told.copied().unwrap_or_default();
        let until = self.read_until.get(&key_of(server)).copied().unwrap_or_default();
        let left_ms = until.since(now).as_secs_f64() * 1e3;
        let least_ms = sent.unread_ms * UNREAD_FLOOR;
        Load { unread_ms: left_ms.max(least_ms).min(sent.unread_ms), ..sent }
    }

    /// Returns what all daemons have in flight at one server.
    pub fn view(&self, server: &runner::Id, now: Moment) -> Load {
        let key = key_of(server);
        let fresh = self.peers.values().filter(|p| now.since(p.at) <= PEER_LOAD_AGE);
        let told = fresh.filter_map(|p| p.told.get(&key));
        let sum = told.fold(Load::default(), |sum, told| sum + told.load);
        self.joined(server, Some(&sum), now)
    }

    /// Returns the streams that this daemon has at a server and that are on time.
    fn streams(&self, own: &Own) -> [Streams; GROUPS] {
        let mut streams = [Streams::default(); GROUPS];
        let entries = own.keys.iter().filter_map(|key| self.entries.get(key));
        for work in entries.filter(|e| e.on_time).filter_map(|e| e.works.first()) {
            let group = group_of(work.pause);
            streams[group] = streams[group] + work.stream();
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
fn finish_reading(own: &mut HashMap<runner::Id, Own>, work: &Work) {
    if let Some(own) = own.get_mut(&work.server) {
        own.reading_ms -= work.read_ms;
        if own.reading_ms < LEAST_READING_MS {
            own.reading_ms = 0.0;
        }
    }
}

impl Own {
    fn has_work(&self) -> bool {
        self.requests > 0 || self.reading_ms > 0.0 || self.memory > 0
    }

    fn load(&self) -> Load {
        Load {
            unread_ms: self.reading_ms,
            requests: self.requests,
            tight: self.tight,
            writing: self.writing,
            streams: Default::default(),
            memory: self.memory,
        }
    }
}

impl Peer {
    /// Returns how much reading the peer sent to a server since it last told of it. Where it had
    /// nothing in flight, was not heard or started anew, that is what is unread now.
    fn added(&self, server: u64, now: &Told) -> f64 {
        match self.told.get(&server) {
            Some(before) if before.sent_ms <= now.sent_ms => now.sent_ms - before.sent_ms,
            _ => now.load.unread_ms,
        }
    }
}
