use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use kumquattiller_base::time::Moment;
use kumquattiller_inventory::Version;
use kumquattiller_inventory::diff::Delta;
use rand::Rng;
use rand::seq::IndexedRandom;

use crate::holder::Adoption;
use crate::holder::Holder;
use crate::holder::State;
use crate::spread::Action;
use crate::spread::Message;

/// Time between probes.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Bit that all nonces of probes have, so that other heartbeats on a link are told from them.
pub const NONCE_MARK: u64 = 1 << 63;
/// Peers that get a probe each time.
const PROBED_PEERS: usize = 2;
/// Peers that an adopted version is sent to.
const FANOUT: usize = 4;
/// Time after which an answer is no longer waited for.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// The part of one process in the spread of configuration.
#[derive(Debug)]
pub struct Node {
    holder: Holder,
    peers: Vec<String>,
    /// Peer and moment of each probe that is not answered.
    probes: BTreeMap<u64, (String, Moment)>,
    next_nonce: u64,
    next_probe: Moment,
    /// Until when an update that was asked for is waited for.
    fetching_until: Option<Moment>,
}

impl Default for Node {
    fn default() -> Self {
        Self {
            holder: Holder::default(),
            peers: Vec::new(),
            probes: BTreeMap::new(),
            next_nonce: NONCE_MARK + 1,
            next_probe: Moment::ZERO,
            fetching_until: None,
        }
    }
}

impl Node {
    /// Returns what the process holds.
    pub const fn holder(&self) -> &Holder {
        &self.holder
    }

    /// Tells whether the process may act on its configuration.
    pub fn state(&self, now: Moment) -> State {
        self.holder.state(now)
    }

    /// Sets the peers that the process can send to.
    pub fn set_peers(&mut self, peers: Vec<String>) {
        self.holder.set_peers(peers.len());
        self.peers = peers;
    }

    /// Sends probes when they are due. Call it at least every [`PROBE_INTERVAL`].
    pub fn tick(&mut self, now: Moment, rng: &mut impl Rng) -> Vec<Action> {
        self.probes.retain(|_, (_, asked_at)| now.since(*asked_at) < ANSWER_TIMEOUT);
        if now < self.next_probe {
            return Vec::new();
        }
        self.next_probe = now + PROBE_INTERVAL;
        let chosen: Vec<String> = self.peers.sample(rng, PROBED_PEERS).cloned().collect();
        chosen.into_iter().map(|peer| self.probe(peer, now)).collect()
    }

    fn probe(&mut self, to: String, now: Moment) -> Action {
        let nonce = self.next_nonce;
        self.next_nonce += 1;
        self.probes.insert(nonce, (to.clone(), now));
        let message = Message::Probe { nonce, version: self.holder.version() };
        Action::Send { to, message }
    }

    /// Takes a message of a peer.
    pub fn on(
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
        let ready = self.holder.state(now).is_ready();
        let reply = Message::Reply { nonce, version: self.holder.version(), ready };
        let mut actions = vec![send(from, reply)];
        if version > self.holder.version() {
            // A probe answers no question of this process, so it confirms nothing.
            actions.extend(self.fetch(from, self.holder.version(), now));
        } else if version < self.holder.version() {
            actions.extend(self.on_fetch(from, version));
        }
        actions
    }

    fn on_reply(
        &mut self,
        from: &str,
        nonce: u64,
        held: (Version, bool),
        now: Moment,
    ) -> Vec<Action> {
        let Some((peer, asked_at)) = self.probes.remove(&nonce) else {
            return Vec::new();
        };
        if peer != from {
            return Vec::new();
        }
        let (version, ready) = held;
        if self.holder.confirm(from, version, asked_at, ready) {
            return self.fetch(from, self.holder.version(), now);
        }
        Vec::new()
    }

    fn on_fetch(&self, from: &str, have: Version) -> Vec<Action> {
        let update = self.holder.update_for(have);
        update.map(|delta| send(from, Message::Update(delta))).into_iter().collect()
    }

    fn on_update(
        &mut self,
        from: &str,
        delta: &Arc<Delta>,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        match self.holder.offer(delta) {
            Adoption::Adopted => self.adopted(Some(from), delta, now, rng),
            Adoption::Ignored => Vec::new(),
            // A whole answer leads nowhere either when the digest differs; ask somebody else then.
            Adoption::WholeNeeded if delta.is_whole() => Vec::new(),
            Adoption::WholeNeeded => {
                self.fetching_until = None;
                let have = self.holder.version();
                let gap = delta.base > have;
                self.fetch(from, if gap { have } else { Version::NONE }, now)
            }
        }
    }

    fn fetch(&mut self, from: &str, have: Version, now: Moment) -> Vec<Action> {
        if self.fetching_until.is_some_and(|until| now < until) {
            return Vec::new();
        }
        self.fetching_until = Some(now + PROBE_INTERVAL / 2);
        vec![send(from, Message::Fetch { have })]
    }

    /// Sends an adopted version on.
    fn adopted(
        &mut self,
        from: Option<&str>,
        delta: &Arc<Delta>,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        self.fetching_until = None;
        let others: Vec<&String> =
            self.peers.iter().filter(|peer| Some(peer.as_str()) != from).collect();
        let chosen = others.sample(rng, FANOUT);
        let on = chosen.map(|peer| send(peer, Message::Update(Arc::clone(delta))));
        let mut actions = vec![Action::Adopt];
        actions.extend(on);
        if let Some(from) = from {
            // Confirms the new version by a question that is asked after its arrival.
            let probe = self.probe(from.to_owned(), now);
            actions.push(probe);
        }
        actions
    }

    /// Takes a version that the store held when asked at `asked_at`.
    pub fn on_store(
        &mut self,
        delta: &Arc<Delta>,
        asked_at: Moment,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        match self.holder.offer(delta) {
            Adoption::Adopted => {
                self.holder.confirm_by_store(asked_at);
                self.adopted(None, delta, now, rng)
            }
            Adoption::Ignored => {
                if delta.version == self.holder.version() {
                    self.holder.confirm_by_store(asked_at);
                }
                Vec::new()
            }
            Adoption::WholeNeeded => vec![Action::ReadStore],
        }
    }

    /// Records that the store, asked at `asked_at`, shows `version`.
    pub fn on_store_version(&mut self, version: Version, asked_at: Moment) -> Vec<Action> {
        if self.holder.version() == version && version > Version::NONE {
            self.holder.confirm_by_store(asked_at);
        }
        if version > self.holder.version() { vec![Action::ReadStore] } else { Vec::new() }
    }
}

fn send(to: &str, message: Message) -> Action {
    Action::Send { to: to.to_owned(), message }
}
