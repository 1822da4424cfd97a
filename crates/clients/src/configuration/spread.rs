use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use kumquattiller_base::time::Moment;
use kumquattiller_inventory::Configuration;
use kumquattiller_inventory::Version;
use kumquattiller_inventory::diff::Delta;
use kumquattiller_link::Sender;
use kumquattiller_rollout::replica;
use kumquattiller_rollout::spread::Action;
use kumquattiller_rollout::spread::Node;
use kumquattiller_wire::Body;
use kumquattiller_wire::Error;

use crate::configuration::frame;

/// What a process has to do after its node took an event.
#[derive(Debug, Clone, Default)]
pub struct Task {
    /// A version to put in force.
    pub adopt: Option<Arc<Configuration>>,
    /// The whole version is to be read from the store.
    pub read_store: bool,
}

/// An open link that takes part in the spread.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Link(u64);

/// The spread of configuration over the links of one process.
#[derive(Debug, Default)]
pub struct Spread {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    node: Node,
    links: BTreeMap<Link, (String, Sender)>,
    next_link: u64,
}

impl Spread {
    /// Adds an open link to a peer.
    pub fn connected(&self, peer: &str, sender: Sender) -> Link {
        let mut state = self.lock();
        state.next_link += 1;
        let link = Link(state.next_link);
        state.links.insert(link, (peer.to_owned(), sender));
        state.set_peers();
        link
    }

    /// Takes a link away that closed.
    pub fn disconnected(&self, link: Link) {
        let mut state = self.lock();
        state.links.remove(&link);
        state.set_peers();
    }

    /// Sends probes when they are due.
    pub fn tick(&self, now: Moment) -> Task {
        let mut state = self.lock();
        let actions = state.node.tick(now, &mut rand::rng());
        state.carry_out(actions)
    }

    /// Takes a frame of a peer; a frame about something else gives `None`.
    ///
    /// # Errors
    ///
    /// Fails when the frame is not valid.
    pub fn take(&self, from: &str, body: &Body, now: Moment) -> Result<Option<Task>, Error> {
        let Some(message) = frame::read(body)? else {
            return Ok(None);
        };
        let mut state = self.lock();
        let actions = state.node.on_message(from, message, now, &mut rand::rng());
        Ok(Some(state.carry_out(actions)))
    }

    /// Takes a version that the store held when asked at `asked_at`.
    pub fn take_from_store(&self, delta: &Arc<Delta>, asked_at: Moment, now: Moment) -> Task {
        let mut state = self.lock();
        let actions = state.node.on_store_delta(delta, asked_at, now, &mut rand::rng());
        state.carry_out(actions)
    }

    /// Records that the store, asked at `asked_at`, holds `version`.
    pub fn confirm_by_store(&self, version: Version, asked_at: Moment) -> Task {
        let mut state = self.lock();
        let actions = state.node.on_store_version(version, asked_at);
        state.carry_out(actions)
    }

    /// Returns the held version.
    pub fn version(&self) -> Version {
        self.lock().node.replica().version()
    }

    /// Tells whether the process may act on its configuration.
    pub fn state(&self, now: Moment) -> replica::State {
        self.lock().node.state(now)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn set_peers(&mut self) {
        let names: BTreeSet<&String> = self.links.values().map(|(name, _)| name).collect();
        let names = names.into_iter().cloned().collect();
        self.node.set_peers(names);
    }

    /// Sends messages and returns what is left to do.
    fn carry_out(&self, actions: Vec<Action>) -> Task {
        let mut task = Task::default();
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(&to, frame::write(message)),
                Action::ReadStore => task.read_store = true,
                Action::Adopt => task.adopt = self.configuration(),
            }
        }
        task
    }

    fn send(&self, to: &str, body: Body) {
        let sender = self.links.values().rev().find(|(name, _)| name == to);
        if let Some((_, sender)) = sender
            && !sender.try_send(body)
        {
            log::debug!(peer = to; "link has no room for configuration");
        }
    }

    fn configuration(&self) -> Option<Arc<Configuration>> {
        let replica = self.node.replica();
        match replica.items().configuration(replica.version()) {
            Ok(configuration) => Some(Arc::new(configuration)),
            Err(error) => {
                log::error!(version:% = replica.version(); "version cannot be used: {error}");
                None
            }
        }
    }
}
