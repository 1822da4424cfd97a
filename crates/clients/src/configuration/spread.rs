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

/// Work that a process has to do after an event of its [`Spread`].
#[derive(Debug, Clone, Default)]
pub struct Task {
    /// Version to put in force.
    pub adopt: Option<Arc<Configuration>>,
    /// Whether the complete configuration has to be read from the store.
    pub read_store: bool,
}

/// Identifies an open link of a [`Spread`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Link(u64);

/// Exchange of configuration versions over the links of a process.
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
    pub fn add_link(&self, peer: &str, sender: Sender) -> Link {
        let mut state = self.lock();
        state.next_link += 1;
        let link = Link(state.next_link);
        state.links.insert(link, (peer.to_owned(), sender));
        state.set_peers();
        link
    }

    /// Removes a link that closed.
    pub fn remove_link(&self, link: Link) {
        let mut state = self.lock();
        state.links.remove(&link);
        state.set_peers();
    }

    /// Sends the probes that are due.
    pub fn tick(&self, now: Moment) -> Task {
        let mut state = self.lock();
        let actions = state.node.tick(now, &mut rand::rng());
        state.perform(actions)
    }

    /// Handles a frame of a peer; returns `None` for a frame that is not about configuration.
    ///
    /// # Errors
    ///
    /// Fails when the frame is malformed.
    pub fn handle_frame(
        &self,
        from: &str,
        body: &Body,
        now: Moment,
    ) -> Result<Option<Task>, Error> {
        let Some(message) = frame::to_message(body)? else {
            return Ok(None);
        };
        let mut state = self.lock();
        let actions = state.node.on_message(from, message, now, &mut rand::rng());
        Ok(Some(state.perform(actions)))
    }

    /// Handles a version that was read from the store by a call made at `asked_at`.
    pub fn handle_store_delta(&self, delta: &Arc<Delta>, asked_at: Moment, now: Moment) -> Task {
        let mut state = self.lock();
        let actions = state.node.on_store_delta(delta, asked_at, now, &mut rand::rng());
        state.perform(actions)
    }

    /// Records that a call made at `asked_at` found `version` in the store.
    pub fn confirm_from_store(&self, version: Version, asked_at: Moment) -> Task {
        let mut state = self.lock();
        let actions = state.node.on_store_version(version, asked_at);
        state.perform(actions)
    }

    /// Returns the configuration version that the process holds.
    pub fn version(&self) -> Version {
        self.lock().node.replica().version()
    }

    /// Returns the state that tells whether the process may act on its configuration.
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

    /// Sends the messages among the actions and returns the remaining work.
    fn perform(&self, actions: Vec<Action>) -> Task {
        let mut task = Task::default();
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(&to, frame::from_message(message)),
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
            log::debug!(peer = to; "configuration message dropped: link queue full or closed");
        }
    }

    fn configuration(&self) -> Option<Arc<Configuration>> {
        let replica = self.node.replica();
        match replica.items().configuration(replica.version()) {
            Ok(configuration) => Some(Arc::new(configuration)),
            Err(error) => {
                log::error!(version:% = replica.version(); "invalid configuration: {error}");
                None
            }
        }
    }
}
