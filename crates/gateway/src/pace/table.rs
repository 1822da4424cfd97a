use std::collections::HashMap;
use std::time::Duration;

use kumquattiller_base::daemon;
use kumquattiller_base::time::Moment;

use crate::pace::Measure;

/// Maximum number of servers in a report: those that differ most.
pub const MAX_REPORTED: usize = 32;
/// Weight of the assumption that a server is as fast as the others, in samples: one sample says
/// little, because a request may meet a long pass.
const PRIOR_WEIGHT: f64 = 3.0;
/// Weight below which samples are forgotten.
const MIN_WEIGHT: f64 = 0.1;
/// Number of servers from which on a median says how fast servers are.
const MIN_SERVERS: usize = 3;
/// Factor up to which servers count as equally fast. Expected times are less exact than that.
const EQUAL_FACTOR: f64 = 1.6;

/// Factor by which a server is slower than the median of its kind, or faster if it is below 1.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Pace(f64);

/// What this daemon and its peers have measured, by [`crate::fleet::Server::start_key`].
#[derive(Debug, Default)]
pub struct Table {
    own: HashMap<u64, Measure>,
    peers: HashMap<daemon::Id, HashMap<u64, Measure>>,
    /// Servers whose pace is not 1, as of the last update.
    paces: HashMap<u64, Pace>,
}

impl Table {
    /// Adds the time that a request of this daemon took at a server.
    pub fn record(&mut self, server: u64, expected: Duration, seen: Duration, now: Moment) {
        self.own.entry(server).or_default().add(expected, seen, now);
    }

    /// Replaces what a peer has measured.
    pub fn merge(&mut self, peer: &daemon::Id, measures: HashMap<u64, Measure>) {
        if measures.is_empty() {
            self.peers.remove(peer);
        } else {
            self.peers.insert(peer.clone(), measures);
        }
    }

    /// Returns what this daemon has measured relative to the median, for its peers: the servers that
    /// differ most.
    pub fn reports(&self, now: Moment) -> Vec<(u64, Measure)> {
        let mut reports: Vec<(u64, Measure)> = self.relative(now).collect();
        reports.retain(|(_, measure)| measure.log.abs() > EQUAL_FACTOR.ln());
        reports.sort_by(|a, b| b.1.log.abs().total_cmp(&a.1.log.abs()));
        reports.truncate(MAX_REPORTED);
        reports
    }

    /// Forgets old samples and computes the paces, which hold until the next update.
    pub fn update(&mut self, now: Moment) {
        let is_recent = |_: &u64, measure: &mut Measure| measure.weight_at(now) >= MIN_WEIGHT;
        self.own.retain(is_recent);
        self.peers.values_mut().for_each(|measures| measures.retain(is_recent));
        self.peers.retain(|_, measures| !measures.is_empty());
        let mut sums: HashMap<u64, (f64, f64)> = HashMap::new();
        let peers = self.peers.values().flatten().map(|(server, measure)| (*server, *measure));
        for (server, measure) in self.relative(now).chain(peers) {
            let (log, weight) = sums.entry(server).or_default();
            *log += measure.log * measure.weight_at(now);
            *weight += measure.weight_at(now);
        }
        let logs = sums.into_iter().map(|(server, (log, w))| (server, log / (w + PRIOR_WEIGHT)));
        let unequal = logs.filter(|(_, log)| log.abs() > EQUAL_FACTOR.ln());
        self.paces = unequal.map(|(server, log)| (server, Pace(log.exp()))).collect();
    }

    /// Returns the pace of a server as of the last update.
    pub fn pace(&self, server: u64) -> Pace {
        self.paces.get(&server).copied().unwrap_or_default()
    }

    /// Returns the measures of this daemon relative to their median.
    fn relative(&self, now: Moment) -> impl Iterator<Item = (u64, Measure)> {
        let mut logs: Vec<f64> = self.own.values().map(|measure| measure.log).collect();
        logs.sort_by(f64::total_cmp);
        let median = logs.get(logs.len() / 2).copied().filter(|_| logs.len() >= MIN_SERVERS);
        self.own.iter().filter_map(move |(server, m)| {
            let weight = m.weight_at(now);
            Some((*server, Measure { log: m.log - median?, weight, at: now }))
        })
    }
}

impl Pace {
    /// Creates a pace from a factor of time.
    pub const fn new(factor: f64) -> Self {
        Self(factor)
    }

    /// Returns the factor of time.
    pub const fn factor(self) -> f64 {
        self.0
    }
}

impl Default for Pace {
    fn default() -> Self {
        Self(1.0)
    }
}

impl std::fmt::Display for Pace {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:.2}", self.0)
    }
}
