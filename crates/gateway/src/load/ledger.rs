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

#[derive(Debug, Default, Clone, Copy)]
struct Own {
    /// When the server has read all that this daemon sent, if it reads nothing else.
    read_until: Moment,
    reading_ms: f64,
    requests: u32,
    tight: u32,
    writing: u32,
    memory: u64,
}

#[derive(Debug)]
struct Peer {
    at: Moment,
    demand: Demand,
    loads: HashMap<u64, Load>,
}

/// The requests in flight of this daemon, and what its peers say of theirs.
#[derive(Debug, Default)]
pub struct Ledger {
    next: u64,
    entries: BTreeMap<Key, Entry>,
    own: HashMap<runner::Id, Own>,
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
            let span = Duration::from_secs_f64(work.read_ms / 1e3);
            own.read_until = own.read_until.max(now) + span;
            own.reading_ms += work.read_ms;
            own.requests += u32::from(!work.helper);
            own.memory += work.memory.get();
        }
        self.entries.insert(key, Entry { works, reading: true, on_time: false });
        key
    }

    /// Notes that the first event of a request has come: its prompt is read.
    pub fn read(&mut self, key: Key, on_time: bool, now: Moment) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        if !std::mem::take(&mut entry.reading) {
            return;
        }
        entry.on_time = on_time;
        for work in &entry.works {
            finish_reading(&mut self.own, work, now);
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
    pub fn end(&mut self, key: Key, now: Moment) {
        let Some(entry) = self.entries.remove(&key) else {
            return;
        };
        for work in &entry.works {
            if entry.reading {
                finish_reading(&mut self.own, work, now);
            }
            let Some(own) = self.own.get_mut(&work.server) else {
                continue;
            };
            own.requests -= u32::from(!work.helper);
            own.memory -= work.memory.get();
            if !work.helper && !entry.reading {
                own.tight -= u32::from(work.is_tight());
                own.writing -= 1;
            }
        }
        self.own.retain(|_, own| own.requests > 0 || own.reading_ms > 0.0 || own.memory > 0);
    }

    /// Takes in what a peer says of its own requests.
    pub fn tell(
        &mut self,
        peer: daemon::Id,
        demand: Demand,
        loads: HashMap<u64, Load>,
        now: Moment,
    ) {
        self.peers.insert(peer, Peer { at: now, demand, loads });
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

    /// Forgets peers that have said nothing for long.
    pub fn expire(&mut self, now: Moment) {
        self.peers.retain(|_, peer| now.since(peer.at) <= PEER_LOAD_AGE);
    }

    /// Returns what this daemon has in flight at a server.
    pub fn own(&self, server: &runner::Id, now: Moment) -> Load {
        let own = self.own.get(server).map(|own| own.load(now)).unwrap_or_default();
        Load { streams: self.streams(server), ..own }
    }

    /// Returns what this daemon has in flight at all servers where it has something.
    pub fn all_own(&self, now: Moment) -> impl Iterator<Item = (&runner::Id, Load)> {
        self.own.keys().map(move |id| (id, self.own(id, now)))
    }

    /// Returns what all daemons have in flight at a server.
    pub fn view(&self, server: &runner::Id, now: Moment) -> Load {
        let key = key_of(server);
        let fresh = self.peers.values().filter(|p| now.since(p.at) <= PEER_LOAD_AGE);
        let told = fresh.filter_map(|p| p.loads.get(&key).map(|load| load.aged(now.since(p.at))));
        told.fold(self.own(server, now), |sum, load| sum + load)
    }

    /// Returns the streams that this daemon has at a server and that are on time.
    fn streams(&self, server: &runner::Id) -> [Streams; GROUPS] {
        let mut streams = [Streams::default(); GROUPS];
        let on_time = self.entries.values().filter(|entry| entry.on_time);
        for work in on_time.filter_map(|entry| entry.works.first()) {
            if work.server == *server {
                let group = group_of(work.pause);
                streams[group] = streams[group] + work.stream();
            }
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
fn finish_reading(own: &mut HashMap<runner::Id, Own>, work: &Work, now: Moment) {
    let Some(own) = own.get_mut(&work.server) else {
        return;
    };
    own.reading_ms = (own.reading_ms - work.read_ms).max(0.0);
    if own.reading_ms < 1e-6 {
        own.reading_ms = 0.0;
        own.read_until = now;
    }
}

impl Own {
    fn load(&self, now: Moment) -> Load {
        let planned = self.read_until.since(now).as_secs_f64() * 1e3;
        let unread_ms = planned.min(self.reading_ms).max(self.reading_ms * UNREAD_FLOOR);
        Load {
            unread_ms,
            requests: self.requests,
            tight: self.tight,
            writing: self.writing,
            streams: Default::default(),
            memory: self.memory,
        }
    }
}

impl Load {
    /// Returns the load with the reading taken off that was done since it was told.
    fn aged(self, age: Duration) -> Self {
        let left = (self.unread_ms - age.as_secs_f64() * 1e3).max(self.unread_ms * UNREAD_FLOOR);
        Self { unread_ms: left, ..self }
    }
}
