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
use crate::load::max_report_age;
use crate::load::server_key;

/// Minimum backlog, as a fraction of the prefill work of the requests without a first event: the
/// server may be slower than estimated.
const MIN_BACKLOG_FRACTION: f64 = 0.15;
/// Backlog below which a server counts as having none, in milliseconds. Repeated floating-point
/// additions and subtractions leave such remainders.
const ROUNDING_ERROR_MS: f64 = 1e-6;

/// Identifies a request in the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(u64);

#[derive(Debug)]
struct Entry {
    assignments: Vec<Assignment>,
    prefilling: bool,
    /// Whether the stream has begun and is on time.
    on_time: bool,
}

#[derive(Debug, Default, Clone)]
struct LocalLoad {
    /// Requests whose response the server generates or will generate.
    keys: Vec<Key>,
    /// Prefill work sent to the server since this daemon started, in milliseconds.
    sent_ms: f64,
    backlog_ms: f64,
    requests: u32,
    interactive: u32,
    decoding: u32,
    memory: u64,
    urgency: f64,
}

/// Load that a daemon reports to its peers for one server.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ReportedLoad {
    /// Work that the daemon has in flight there.
    pub load: Load,
    /// Prefill work sent there since the daemon started, in milliseconds.
    pub sent_ms: f64,
}

#[derive(Debug, Default)]
struct Peer {
    at: Moment,
    demand: Demand,
    /// Loads of the servers where the peer has work in flight, by [`server_key`].
    loads: HashMap<u64, ReportedLoad>,
}

/// The requests in flight from this daemon, and the loads reported by its peers.
#[derive(Debug, Default)]
pub struct Ledger {
    next: u64,
    entries: BTreeMap<Key, Entry>,
    local: HashMap<runner::Id, LocalLoad>,
    /// Estimated time at which each server completes the prefill work sent by all daemons.
    backlog_until: HashMap<u64, Moment>,
    peers: HashMap<daemon::Id, Peer>,
    meter: Meter,
}

impl Ledger {
    /// Adds a request that is being sent, with one assignment for each participating server.
    pub fn start(&mut self, assignments: Vec<Assignment>, now: Moment) -> Key {
        let key = Key(self.next);
        self.next += 1;
        for assignment in &assignments {
            let local = self.local.entry(assignment.server.clone()).or_default();
            local.sent_ms += assignment.prefill_ms;
            local.backlog_ms += assignment.prefill_ms;
            local.urgency += assignment.urgency;
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

    /// Extends the estimated backlog of a server.
    fn enqueue(&mut self, server: u64, prefill_ms: f64, now: Moment) {
        let until = self.backlog_until.entry(server).or_default();
        *until = (*until).max(now) + Duration::from_secs_f64(prefill_ms / 1e3);
    }

    /// Records the first event of a request, which shows that its prefill is complete.
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

    /// Records that a stream is late. Further delays cause no additional loss.
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

    /// Replaces the demand and loads of a peer by its latest report.
    pub fn update_peer(
        &mut self,
        peer: daemon::Id,
        demand: Demand,
        loads: HashMap<u64, ReportedLoad>,
        now: Moment,
    ) {
        let previous = self.peers.remove(&peer).unwrap_or_default();
        for (server, reported) in &loads {
            self.enqueue(*server, previous.newly_sent_ms(*server, reported), now);
        }
        self.peers.insert(peer, Peer { at: now, demand, loads });
    }

    /// Counts a request received by this daemon: `long_ms` is its prefill work if it is long, and
    /// `short` whether it is short.
    pub fn record_demand(&mut self, long_ms: f64, short: bool, now: Moment) {
        self.meter.record(long_ms, short, now);
    }

    /// Returns the demand at this daemon.
    pub fn local_demand(&self, now: Moment) -> Demand {
        self.meter.rates(now)
    }

    /// Returns the demand at all daemons.
    pub fn demand(&self, now: Moment) -> Demand {
        self.peers.values().fold(self.meter.rates(now), |sum, peer| sum + peer.demand)
    }

    /// Removes peers without a recent report, and servers that are no longer known.
    pub fn expire(&mut self, now: Moment, known: impl Fn(&runner::Id) -> bool) {
        let max_age = max_report_age(self.peers.len());
        self.peers.retain(|_, peer| now.since(peer.at) <= max_age);
        self.backlog_until.retain(|_, until| *until > now);
        self.local.retain(|id, local| local.is_busy() || known(id));
    }

    /// Returns the work that this daemon has in flight at a server. The whole prompt counts as
    /// backlog until its first event arrives.
    pub fn local_load(&self, server: &runner::Id) -> Load {
        let Some(local) = self.local.get(server) else {
            return Load::default();
        };
        Load { streams: self.streams(local), ..local.load() }
    }

    /// Returns the loads that this daemon reports to its peers, for all servers where it has work
    /// in flight.
    pub fn report(&self) -> impl Iterator<Item = (u64, ReportedLoad)> {
        let busy = self.local.iter().filter(|(_, local)| local.is_busy());
        busy.map(|(id, local)| {
            (server_key(id), ReportedLoad { load: self.local_load(id), sent_ms: local.sent_ms })
        })
    }

    /// Returns the peers with a recent report.
    fn recent_peers(&self, now: Moment) -> impl Iterator<Item = &Peer> {
        let max_age = max_report_age(self.peers.len());
        self.peers.values().filter(move |peer| now.since(peer.at) <= max_age)
    }

    /// Returns the work that the peers have in flight at each server.
    pub fn peer_loads(&self, now: Moment) -> HashMap<u64, Load> {
        let mut sums: HashMap<u64, Load> = HashMap::new();
        for peer in self.recent_peers(now) {
            for (server, reported) in &peer.loads {
                let sum = sums.entry(*server).or_default();
                *sum = *sum + reported.load;
            }
        }
        sums
    }

    /// Returns the work that all daemons have in flight at a server, where `peers` is the part of
    /// the peers. The backlog is an estimate: it assumes that the server prefills prompts one after
    /// the other, regardless of the daemon that sent them.
    pub fn total_load(&self, server: &runner::Id, peers: Option<&Load>, now: Moment) -> Load {
        let in_flight = self.local_load(server) + peers.copied().unwrap_or_default();
        let until = self.backlog_until.get(&server_key(server)).copied().unwrap_or_default();
        let remaining_ms = until.since(now).as_secs_f64() * 1e3;
        let min_ms = in_flight.backlog_ms * MIN_BACKLOG_FRACTION;
        let backlog_ms = remaining_ms.max(min_ms).min(in_flight.backlog_ms);
        Load { backlog_ms, unanswered_ms: in_flight.backlog_ms, ..in_flight }
    }

    /// Returns the work that all daemons have in flight at one server.
    pub fn server_load(&self, server: &runner::Id, now: Moment) -> Load {
        let key = server_key(server);
        let reported = self.recent_peers(now).filter_map(|p| p.loads.get(&key));
        let sum = reported.fold(Load::default(), |sum, reported| sum + reported.load);
        self.total_load(server, Some(&sum), now)
    }

    /// Returns the streams from this daemon at a server that are on time.
    fn streams(&self, local: &LocalLoad) -> [Streams; GAP_GROUPS] {
        let mut streams = [Streams::default(); GAP_GROUPS];
        let entries = local.keys.iter().filter_map(|key| self.entries.get(key));
        for assignment in entries.filter(|e| e.on_time).filter_map(|e| e.assignments.first()) {
            let group = gap_group(assignment.target_gap);
            streams[group] = streams[group] + assignment.stream();
        }
        streams
    }

    /// Returns the number of requests in flight from this daemon.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request is in flight from this daemon.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// Removes an assignment from a server's backlog.
fn finish_prefill(local: &mut HashMap<runner::Id, LocalLoad>, assignment: &Assignment) {
    if let Some(local) = local.get_mut(&assignment.server) {
        local.backlog_ms -= assignment.prefill_ms;
        local.urgency -= assignment.urgency;
        if local.backlog_ms < ROUNDING_ERROR_MS {
            local.backlog_ms = 0.0;
            local.urgency = 0.0;
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
            unanswered_ms: self.backlog_ms,
            requests: self.requests,
            interactive: self.interactive,
            decoding: self.decoding,
            streams: Default::default(),
            memory: self.memory,
            urgency: self.urgency,
        }
    }
}

impl Peer {
    /// Returns the prefill work that the peer has sent to a server since its previous report, in
    /// milliseconds. Without a comparable report (nothing in flight there, no recent report, or a
    /// restart of the peer) this is the reported backlog.
    fn newly_sent_ms(&self, server: u64, latest: &ReportedLoad) -> f64 {
        match self.loads.get(&server) {
            Some(previous) if previous.sent_ms <= latest.sent_ms => {
                latest.sent_ms - previous.sent_ms
            }
            _ => latest.load.backlog_ms,
        }
    }
}
