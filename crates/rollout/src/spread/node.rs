use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use kumquattiller_base::time::Moment;
use kumquattiller_inventory::Version;
use kumquattiller_inventory::diff::Delta;
use rand::Rng;
use rand::seq::IndexedRandom;

use crate::replica::Adoption;
use crate::replica::Replica;
use crate::replica::State;
use crate::spread::Action;
use crate::spread::Message;

/// Time between probes.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Bit that is set in the nonces of probes, to distinguish them from other heartbeats on a link.
pub const PROBE_NONCE_BIT: u64 = 1 << 63;
/// Peers that a process probes each [`PROBE_INTERVAL`].
const PROBES_PER_INTERVAL: usize = 2;
/// Peers that a process sends an adopted version to.
const FANOUT: usize = 4;
/// Time after which the reply to a probe no longer counts.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// State machine of one process that takes part in distributing the configuration.
#[derive(Debug)]
pub struct Node {
    replica: Replica,
    peers: Vec<String>,
    /// Peer and sending time of each unanswered probe, by nonce.
    pending_probes: BTreeMap<u64, (String, Moment)>,
    next_nonce: u64,
    next_probe: Moment,
    /// Time until which no other update is requested, as one is already under way.
    fetch_deadline: Option<Moment>,
}

impl Default for Node {
    fn default() -> Self {
        Self {
            replica: Replica::default(),
            peers: Vec::new(),
            pending_probes: BTreeMap::new(),
            next_nonce: PROBE_NONCE_BIT + 1,
            next_probe: Moment::ZERO,
            fetch_deadline: None,
        }
    }
}

impl Node {
    /// Returns the copy of the configuration that the process holds.
    pub const fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns how current the configuration is at `now`.
    pub fn state(&self, now: Moment) -> State {
        self.replica.state(now)
    }

    /// Sets the peers that the process can send messages to.
    pub fn set_peers(&mut self, peers: Vec<String>) {
        self.replica.set_peer_count(peers.len());
        self.peers = peers;
    }

    /// Drops expired probes and sends new ones when they are due.
    ///
    /// Must be called at least once each [`PROBE_INTERVAL`].
    pub fn tick(&mut self, now: Moment, rng: &mut impl Rng) -> Vec<Action> {
        self.pending_probes.retain(|_, (_, asked_at)| now.since(*asked_at) < PROBE_TIMEOUT);
        if now < self.next_probe {
            return Vec::new();
        }
        self.next_probe = now + PROBE_INTERVAL;
        let chosen: Vec<String> = self.peers.sample(rng, PROBES_PER_INTERVAL).cloned().collect();
        chosen.into_iter().map(|peer| self.probe(peer, now)).collect()
    }

    fn probe(&mut self, to: String, now: Moment) -> Action {
        let nonce = self.next_nonce;
        self.next_nonce += 1;
        self.pending_probes.insert(nonce, (to.clone(), now));
        let message = Message::Probe { nonce, version: self.replica.version() };
        Action::Send { to, message }
    }

    /// Handles a message from a peer.
    pub fn on_message(
        &mut self,
        from: &str,
        message: Message,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        match message {
            Message::Probe { nonce, version } => self.on_probe(from, nonce, version, now),
            Message::Reply { nonce, version, ready } => {
                self.on_reply(from, nonce, (version, ready), now)
            }
            Message::Fetch { have } => self.on_fetch(from, have),
            Message::Update(delta) => self.on_update(from, &delta, now, rng),
        }
    }

    fn on_probe(&mut self, from: &str, nonce: u64, version: Version, now: Moment) -> Vec<Action> {
        let ready = self.replica.state(now).is_ready();
        let reply = Message::Reply { nonce, version: self.replica.version(), ready };
        let mut actions = vec![send(from, reply)];
        if version > self.replica.version() {
            // A probe is no reply to a request of this process, so it does not count as a
            // confirmation.
            actions.extend(self.fetch(from, self.replica.version(), now));
        } else if version < self.replica.version() {
            actions.extend(self.on_fetch(from, version));
        }
        actions
    }

    fn on_reply(
        &mut self,
        from: &str,
        nonce: u64,
        peer_state: (Version, bool),
        now: Moment,
    ) -> Vec<Action> {
        let Some((peer, asked_at)) = self.pending_probes.remove(&nonce) else {
            return Vec::new();
        };
        if peer != from {
            return Vec::new();
        }
        let (version, ready) = peer_state;
        if self.replica.confirm_by_peer(from, version, asked_at, ready) {
            return self.fetch(from, self.replica.version(), now);
        }
        Vec::new()
    }

    fn on_fetch(&self, from: &str, have: Version) -> Vec<Action> {
        let update = self.replica.update_for(have);
        update.map(|delta| send(from, Message::Update(delta))).into_iter().collect()
    }

    fn on_update(
        &mut self,
        from: &str,
        delta: &Arc<Delta>,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        match self.replica.try_adopt(delta) {
            Adoption::Adopted => self.announce(Some(from), delta, now, rng),
            Adoption::Ignored => Vec::new(),
            // Even the full version of this peer does not produce its digest, so fetching from it
            // again does not help; a later probe may reach another peer.
            Adoption::NotApplicable if delta.is_full() => Vec::new(),
            Adoption::NotApplicable => {
                self.fetch_deadline = None;
                let have = self.replica.version();
                let misses_versions = delta.base > have;
                self.fetch(from, if misses_versions { have } else { Version::NONE }, now)
            }
        }
    }

    fn fetch(&mut self, from: &str, have: Version, now: Moment) -> Vec<Action> {
        if self.fetch_deadline.is_some_and(|deadline| now < deadline) {
            return Vec::new();
        }
        self.fetch_deadline = Some(now + PROBE_INTERVAL / 2);
        vec![send(from, Message::Fetch { have })]
    }

    /// Sends an adopted version to some peers, except to `from`, from which it came.
    fn announce(
        &mut self,
        from: Option<&str>,
        delta: &Arc<Delta>,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        self.fetch_deadline = None;
        let recipients: Vec<&String> =
            self.peers.iter().filter(|peer| Some(peer.as_str()) != from).collect();
        let chosen = recipients.sample(rng, FANOUT);
        let updates = chosen.map(|peer| send(peer, Message::Update(Arc::clone(delta))));
        let mut actions = vec![Action::Adopt];
        actions.extend(updates);
        if let Some(from) = from {
            // Only a reply to a request that is sent after the update arrived confirms the version.
            let probe = self.probe(from.to_owned(), now);
            actions.push(probe);
        }
        actions
    }

    /// Handles a version that the store returned to a request sent at `asked_at`.
    pub fn on_store_delta(
        &mut self,
        delta: &Arc<Delta>,
        asked_at: Moment,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        match self.replica.try_adopt(delta) {
            Adoption::Adopted => {
                self.replica.confirm_by_store(asked_at);
                self.announce(None, delta, now, rng)
            }
            Adoption::Ignored => {
                if delta.version == self.replica.version() {
                    self.replica.confirm_by_store(asked_at);
                }
                Vec::new()
            }
            Adoption::NotApplicable => vec![Action::ReadStore],
        }
    }

    /// Handles the version number that the store returned to a request sent at `asked_at`.
    pub fn on_store_version(&mut self, version: Version, asked_at: Moment) -> Vec<Action> {
        if self.replica.version() == version && version > Version::NONE {
            self.replica.confirm_by_store(asked_at);
        }
        if version > self.replica.version() { vec![Action::ReadStore] } else { Vec::new() }
    }
}

fn send(to: &str, message: Message) -> Action {
    Action::Send { to: to.to_owned(), message }
}
