use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use kumquattiller_clients::configuration;
use kumquattiller_link::Sender;
use kumquattiller_rollout::spread::is_watcher;
use kumquattiller_wire::Body;

use crate::Daemon;

/// The open links to other entry daemons.
#[derive(Debug, Default)]
pub struct Table {
    links: Mutex<BTreeMap<configuration::Link, Peer>>,
}

#[derive(Debug)]
struct Peer {
    name: String,
    zone: String,
    sender: Sender,
}

/// Keeps an open link in the table; dropping the guard removes it.
#[derive(Debug)]
pub struct Guard {
    daemon: Daemon,
    link: configuration::Link,
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.daemon.spread().remove_link(self.link);
        self.daemon.peers().lock().remove(&self.link);
    }
}

impl Table {
    /// Adds an open link to another entry daemon.
    pub fn add(&self, daemon: &Daemon, name: &str, zone: &str, sender: Sender) -> Guard {
        let link = daemon.spread().add_link(name, sender.clone());
        let peer = Peer { name: name.to_owned(), zone: zone.to_owned(), sender };
        self.lock().insert(link, peer);
        Guard { daemon: daemon.clone(), link }
    }

    /// Returns whether `daemon`, which owns this table, is one of the daemons that watch the store
    /// for their availability zone.
    pub fn is_watcher(&self, daemon: &Daemon) -> bool {
        let links = self.lock();
        let zone = daemon.settings().zone.as_str();
        let members = links.values().filter(|peer| peer.zone == zone).map(|p| p.name.as_str());
        is_watcher(zone, daemon.settings().id.as_str(), members)
    }

    /// Sends a frame to each daemon, over one link if there are several.
    pub async fn send_to_all(&self, body: &Body) {
        let by_name = |peer: &Peer| (peer.name.clone(), peer.sender.clone());
        let senders: BTreeMap<String, Sender> = self.lock().values().map(by_name).collect();
        for sender in senders.into_values() {
            let _ = sender.send(body.clone()).await;
        }
    }

    /// Returns whether there is an open link to a daemon.
    pub fn is_linked(&self, name: &str) -> bool {
        self.lock().values().any(|peer| peer.name == name)
    }

    /// Returns the number of daemons to which there is a link.
    pub fn count(&self) -> usize {
        let links = self.lock();
        let names: BTreeSet<&String> = links.values().map(|peer| &peer.name).collect();
        names.len()
    }

    /// Sends a frame to a daemon; drops it if there is no link or the link's queue is full.
    pub fn try_send(&self, name: &str, body: Body) {
        if let Some(peer) = self.lock().values().rev().find(|peer| peer.name == name) {
            peer.sender.try_send(body);
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<configuration::Link, Peer>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
