use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use kumquattiller_base::daemon;
use kumquattiller_base::place::Zone;
use kumquattiller_base::time::Moment;

use crate::freshness::Kind;
use crate::freshness::Revision;
use crate::load::report_interval;
use crate::peer::Member;

/// Minimum time after its last report until which a peer counts as alive.
const MIN_ALIVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of intervals between reports after which a peer no longer counts as alive.
const ALIVE_INTERVALS: u32 = 4;
/// Interval between reports to a peer that is not alive.
const SILENT_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which an unregistered peer is kept after its last report.
const RETENTION: Duration = Duration::from_secs(30);

/// Identifies a report: the run of the daemon that sent it, and its number there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Serial {
    /// Random number that identifies the run of the daemon.
    pub incarnation: u64,
    /// Number of the report, which rises within a run.
    pub sequence: u64,
}

/// The peers to which a report is sent.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Recipients {
    /// Those that get it for themselves.
    pub direct: Vec<SocketAddr>,
    /// Those that also forward it to the other daemons of their availability zones.
    pub forwarding: Vec<SocketAddr>,
}

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    zone: Option<Zone>,
    changes: Option<SocketAddr>,
    registered: bool,
    last_heard: Option<Moment>,
    last_report_sent: Option<Moment>,
    serial: Option<Serial>,
    stopping: bool,
    /// Last change of each kind that the peer has reported.
    last_changes: BTreeMap<Kind, Revision>,
}

/// The other daemons: those registered in the store and those that have sent a report.
#[derive(Debug, Default)]
pub struct Table {
    peers: BTreeMap<daemon::Id, Peer>,
}

impl Table {
    /// Replaces the registered daemons. `own` is this daemon and is left out.
    pub fn replace(&mut self, members: &[Member], own: &daemon::Id) {
        for peer in self.peers.values_mut() {
            peer.registered = false;
        }
        for member in members {
            self.put(member, own);
        }
    }

    /// Adds or updates a registered daemon. `own` is this daemon and is left out.
    pub fn put(&mut self, member: &Member, own: &daemon::Id) {
        if member.id == *own {
            return;
        }
        let new = || Peer::new(member.address);
        let peer = self.peers.entry(member.id.clone()).or_insert_with(new);
        peer.registered = true;
        peer.zone = member.zone.clone();
        peer.changes = member.changes;
        if peer.last_heard.is_none() {
            peer.address = member.address;
        }
    }

    /// Records that the registration of a daemon was removed. It is kept while it sends reports.
    pub fn remove(&mut self, id: &daemon::Id) {
        if let Some(peer) = self.peers.get_mut(id) {
            peer.registered = false;
        }
    }

    /// Records that a report arrived; returns `false` if it is not newer than the last one.
    pub fn record_report(
        &mut self,
        id: &daemon::Id,
        address: SocketAddr,
        serial: Serial,
        now: Moment,
    ) -> bool {
        let peer = self.peers.entry(id.clone()).or_insert_with(|| Peer::new(address));
        let same_run = peer.serial.filter(|last| last.incarnation == serial.incarnation);
        if same_run.is_some_and(|last| serial.sequence <= last.sequence) {
            return false;
        }
        peer.address = address;
        peer.serial = Some(serial);
        peer.last_heard = Some(now);
        true
    }

    /// Records the last change of a kind that a peer has reported.
    pub fn record_last_change(&mut self, id: &daemon::Id, kind: Kind, change: Revision) {
        if let Some(peer) = self.peers.get_mut(id) {
            peer.last_changes.insert(kind, change);
        }
    }

    /// Returns the living peers that have a change and pass it on: those of the availability zone
    /// `zone`, or all if there are none.
    pub fn holders(
        &self,
        kind: Kind,
        change: Revision,
        zone: Option<&Zone>,
        now: Moment,
    ) -> Vec<SocketAddr> {
        let timeout = self.alive_timeout();
        let holds = |p: &&Peer| p.last_changes.get(&kind).is_some_and(|c| *c >= change);
        let holders: Vec<&Peer> =
            self.peers.values().filter(|p| p.is_alive(timeout, now)).filter(holds).collect();
        let addresses = |near: bool| -> Vec<SocketAddr> {
            let chosen = holders.iter().filter(|p| !near || p.zone.as_ref() == zone);
            chosen.filter_map(|p| p.changes).collect()
        };
        let near = addresses(true);
        if near.is_empty() { addresses(false) } else { near }
    }

    /// Returns the ids of all peers that are known.
    pub fn ids(&self) -> impl Iterator<Item = &daemon::Id> {
        self.peers.keys()
    }

    /// Returns the registered daemons.
    pub fn members(&self) -> impl Iterator<Item = Member> {
        self.peers.iter().filter(|(_, p)| p.registered).map(|(id, p)| p.member(id))
    }

    /// Returns to whom a report is sent now, and marks them as sent. `zone` is that of this daemon.
    ///
    /// Living peers of another availability zone get the report from one of them, chosen by
    /// `sequence`, so that it crosses between the zones once. All others get it directly: those of
    /// the own zone, those that cannot forward, and once in a second those that are not
    /// alive.
    pub fn take_due(&mut self, zone: Option<&Zone>, sequence: u64, now: Moment) -> Recipients {
        self.peers
            .retain(|_, p| p.registered || p.last_heard.is_some_and(|h| now.since(h) < RETENTION));
        let timeout = self.alive_timeout();
        let mut recipients = Recipients::default();
        let mut remote: BTreeMap<Zone, Vec<SocketAddr>> = BTreeMap::new();
        for peer in self.peers.values_mut() {
            let interval_elapsed =
                peer.last_report_sent.is_none_or(|at| now.since(at) >= SILENT_INTERVAL);
            if !peer.is_alive(timeout, now) && !interval_elapsed {
                continue;
            }
            peer.last_report_sent = Some(now);
            let other_zone = peer.zone.as_ref().filter(|z| zone.is_some() && Some(*z) != zone);
            match other_zone.filter(|_| peer.is_alive(timeout, now) && peer.changes.is_some()) {
                Some(zone) => remote.entry(zone.clone()).or_default().push(peer.address),
                None => recipients.direct.push(peer.address),
            }
        }
        for peers in remote.into_values() {
            let chosen = peers[(sequence % peers.len() as u64) as usize];
            match peers.len() {
                1 => recipients.direct.push(chosen),
                _ => recipients.forwarding.push(chosen),
            }
        }
        recipients
    }

    /// Returns the living peers of an availability zone, to which a report is forwarded.
    pub fn neighbours(&self, zone: &Zone, now: Moment) -> Vec<SocketAddr> {
        let timeout = self.alive_timeout();
        let is_neighbour = |p: &&Peer| p.is_alive(timeout, now) && p.zone.as_ref() == Some(zone);
        self.peers.values().filter(is_neighbour).map(|p| p.address).collect()
    }

    /// Records whether a peer is stopping.
    pub fn set_stopping(&mut self, id: &daemon::Id, stopping: bool) {
        if let Some(peer) = self.peers.get_mut(id) {
            peer.stopping = stopping;
        }
    }

    /// Returns whether any peer is alive and not stopping.
    pub fn is_any_serving(&self, now: Moment) -> bool {
        let timeout = self.alive_timeout();
        self.peers.values().any(|p| p.is_alive(timeout, now) && !p.stopping)
    }

    /// Returns the living peers of an availability zone that pass changes on and are not stopping.
    pub fn sources<'a>(
        &'a self,
        zone: &'a Zone,
        now: Moment,
    ) -> impl Iterator<Item = &'a daemon::Id> {
        let timeout = self.alive_timeout();
        let is_source = move |p: &Peer| {
            p.is_alive(timeout, now)
                && !p.stopping
                && p.changes.is_some()
                && p.zone.as_ref() == Some(zone)
        };
        self.peers.iter().filter(move |(_, p)| is_source(p)).map(|(id, _)| id)
    }

    /// Returns the living peers that are not stopping.
    pub fn serving(&self, now: Moment) -> impl Iterator<Item = &daemon::Id> {
        let timeout = self.alive_timeout();
        let is_serving = move |p: &Peer| p.is_alive(timeout, now) && !p.stopping;
        self.peers.iter().filter(move |(_, p)| is_serving(p)).map(|(id, _)| id)
    }

    /// Returns how many living peers come before `own` in the order of names.
    pub fn rank(&self, own: &daemon::Id, now: Moment) -> usize {
        let timeout = self.alive_timeout();
        self.peers.range(..own.clone()).filter(|(_, p)| p.is_alive(timeout, now)).count()
    }

    /// Returns how many peers are alive.
    pub fn alive(&self, now: Moment) -> usize {
        let timeout = self.alive_timeout();
        self.peers.values().filter(|p| p.is_alive(timeout, now)).count()
    }

    /// Returns how many peers are known.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Returns the time after its last report until which a peer counts as alive.
    fn alive_timeout(&self) -> Duration {
        (report_interval(self.peers.len()) * ALIVE_INTERVALS).max(MIN_ALIVE_TIMEOUT)
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
            zone: None,
            changes: None,
            registered: false,
            last_heard: None,
            last_report_sent: None,
            serial: None,
            stopping: false,
            last_changes: BTreeMap::new(),
        }
    }

    fn member(&self, id: &daemon::Id) -> Member {
        Member {
            id: id.clone(),
            address: self.address,
            zone: self.zone.clone(),
            changes: self.changes,
        }
    }

    fn is_alive(&self, timeout: Duration, now: Moment) -> bool {
        self.last_heard.is_some_and(|at| now.since(at) < timeout)
    }
}
