use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use kumquattiller_base::daemon;
use kumquattiller_base::time::Moment;

/// Time after its last report until which a peer counts as alive.
const ALIVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between reports to a peer that is not alive.
const SILENT_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which an unregistered peer is kept after its last report.
const RETENTION: Duration = Duration::from_secs(30);

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    registered: bool,
    last_heard: Option<Moment>,
    last_report_sent: Option<Moment>,
    incarnation: u64,
    sequence: u64,
    stopping: bool,
}

/// The other daemons: those registered in the store and those that have sent a report.
#[derive(Debug, Default)]
pub struct Table {
    peers: BTreeMap<daemon::Id, Peer>,
}

impl Table {
    /// Updates the registered daemons. `own` is this daemon and is left out. If `is_complete`,
    /// daemons that are not listed are no longer registered.
    pub fn register(
        &mut self,
        daemons: &[(daemon::Id, SocketAddr)],
        own: &daemon::Id,
        is_complete: bool,
    ) {
        for peer in self.peers.values_mut().filter(|_| is_complete) {
            peer.registered = false;
        }
        for (id, address) in daemons.iter().filter(|(id, _)| id != own) {
            let peer = self.peers.entry(id.clone()).or_insert_with(|| Peer::new(*address));
            peer.registered = true;
            if peer.last_heard.is_none() {
                peer.address = *address;
            }
        }
    }

    /// Records that a report arrived; returns `false` if it is not newer than the last one.
    pub fn record_report(
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
        peer.last_heard = Some(now);
        true
    }

    /// Returns the addresses to which a report is due and marks them as sent.
    pub fn take_due(&mut self, now: Moment) -> Vec<SocketAddr> {
        self.peers
            .retain(|_, p| p.registered || p.last_heard.is_some_and(|h| now.since(h) < RETENTION));
        let mut due = Vec::new();
        for peer in self.peers.values_mut() {
            let interval_elapsed =
                peer.last_report_sent.is_none_or(|at| now.since(at) >= SILENT_INTERVAL);
            if peer.is_alive(now) || interval_elapsed {
                peer.last_report_sent = Some(now);
                due.push(peer.address);
            }
        }
        due
    }

    /// Records whether a peer is stopping.
    pub fn set_stopping(&mut self, id: &daemon::Id, stopping: bool) {
        if let Some(peer) = self.peers.get_mut(id) {
            peer.stopping = stopping;
        }
    }

    /// Returns whether any peer is alive and not stopping.
    pub fn is_any_serving(&self, now: Moment) -> bool {
        self.peers.values().any(|p| p.is_alive(now) && !p.stopping)
    }

    /// Returns how many living peers come before `own` in the order of names.
    pub fn rank(&self, own: &daemon::Id, now: Moment) -> usize {
        self.peers.range(..own.clone()).filter(|(_, p)| p.is_alive(now)).count()
    }

    /// Returns how many peers are alive.
    pub fn alive(&self, now: Moment) -> usize {
        self.peers.values().filter(|p| p.is_alive(now)).count()
    }

    /// Returns how many peers are known.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Returns whether no peer is known.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }
}

impl Peer {
    const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            registered: false,
            last_heard: None,
            last_report_sent: None,
            incarnation: 0,
            sequence: 0,
            stopping: false,
        }
    }

    fn is_alive(&self, now: Moment) -> bool {
        self.last_heard.is_some_and(|at| now.since(at) < ALIVE_TIMEOUT)
    }
}
