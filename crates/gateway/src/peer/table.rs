use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use kumquattiller_base::daemon;
use kumquattiller_base::time::Moment;

/// How long a peer that says nothing counts as alive.
const ALIVE: Duration = Duration::from_secs(2);
/// Time between reports to a peer that says nothing.
const SILENT_INTERVAL: Duration = Duration::from_secs(1);
/// How long a peer that is not registered is remembered after its last report.
const RETENTION: Duration = Duration::from_secs(30);

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    registered: bool,
    heard: Option<Moment>,
    told: Option<Moment>,
    incarnation: u64,
    sequence: u64,
    stopping: bool,
}

/// The other daemons, as registered and as heard of.
#[derive(Debug, Default)]
pub struct Table {
    peers: BTreeMap<daemon::Id, Peer>,
}

impl Table {
    /// Takes in registered daemons; `own` is this one, and `whole` tells that they are all.
    pub fn register(
        &mut self,
        daemons: &[(daemon::Id, SocketAddr)],
        own: &daemon::Id,
        whole: bool,
    ) {
        for peer in self.peers.values_mut().filter(|_| whole) {
            peer.registered = false;
        }
        for (id, address) in daemons.iter().filter(|(id, _)| id != own) {
            let peer = self.peers.entry(id.clone()).or_insert_with(|| Peer::new(*address));
            peer.registered = true;
            if peer.heard.is_none() {
                peer.address = *address;
            }
        }
    }

    /// Notes a report; returns false when it came late and a newer one was seen.
    pub fn hear(
        &mut self,
        id: &daemon::Id,
        address: SocketAddr,
        incarnation: u64,
        sequence: u64,
        now: Moment,
    ) -> bool {
        let peer = self.peers.entry(id.clone()).or_insert_with(|| Peer::new(address));
        if peer.incarnation == incarnation && sequence <= peer.sequence {
            return false;
        }
        peer.address = address;
        peer.incarnation = incarnation;
        peer.sequence = sequence;
        peer.heard = Some(now);
        true
    }

    /// Returns the addresses that are due a report, and notes that they get it.
    pub fn due(&mut self, now: Moment) -> Vec<SocketAddr> {
        self.peers.retain(|_, p| p.registered || p.heard.is_some_and(|h| now.since(h) < RETENTION));
        let mut due = Vec::new();
        for peer in self.peers.values_mut() {
            let waited = peer.told.is_none_or(|told| now.since(told) >= SILENT_INTERVAL);
            if peer.is_alive(now) || waited {
                peer.told = Some(now);
                due.push(peer.address);
            }
        }
        due
    }

    /// Notes whether a peer is stopping.
    pub fn set_stopping(&mut self, id: &daemon::Id, stopping: bool) {
        if let Some(peer) = self.peers.get_mut(id) {
            peer.stopping = stopping;
        }
    }

    /// Tells whether a peer takes requests.
    pub fn is_any_serving(&self, now: Moment) -> bool {
        self.peers.values().any(|p| p.is_alive(now) && !p.stopping)
    }

    /// Returns how many peers are alive.
    pub fn alive(&self, now: Moment) -> usize {
        self.peers.values().filter(|p| p.is_alive(now)).count()
    }

    /// Returns how many peers are known.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Tells whether no peer is known.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }
}

impl Peer {
    const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            registered: false,
            heard: None,
            told: None,
            incarnation: 0,
            sequence: 0,
            stopping: false,
        }
    }

    fn is_alive(&self, now: Moment) -> bool {
        self.heard.is_some_and(|heard| now.since(heard) < ALIVE)
    }
}
