use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use kumquattiller_clients::configuration;
use kumquattiller_link::Sender;
use kumquattiller_rollout::spread::is_watcher;

use crate::Daemon;

/// The entry daemons that this daemon has open links to.
#[derive(Debug, Default)]
pub struct Table {
    links: Mutex<BTreeMap<configuration::Link, Peer>>,
}

#[derive(Debug)]
struct Peer {
    name: String,
    zone: String,
}

/// An open link in the table; dropping it takes it out.
#[derive(Debug)]
pub struct Guard {
    daemon: Daemon,
    link: configuration::Link,
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.daemon.spread().disconnected(self.link);
        self.daemon.peers().lock().remove(&self.link);
    }
}

impl Table {
    /// Adds an open link to another entry daemon.
    pub fn connected(&self, daemon: &Daemon, name: &str, zone: &str, sender: Sender) -> Guard {
        let link = daemon.spread().connected(name, sender);
        let peer = Peer { name: name.to_owned(), zone: zone.to_owned() };
        self.lock().insert(link, peer);
        Guard { daemon: daemon.clone(), link }
    }

    /// Tells whether `daemon` is among those that watch the store for its availability zone.
    pub fn is_watcher(&self, daemon: &Daemon) -> bool {
        let links = self.lock();
        let zone = daemon.settings().zone.as_str();
        let members = links.values().filter(|peer| peer.zone == zone).map(|p| p.name.as_str());
        is_watcher(zone, daemon.settings().id.as_str(), members)
    }

    /// Tells whether there is an open link to a daemon.
    pub fn is_linked(&self, name: &str) -> bool {
        self.lock().values().any(|peer| peer.name == name)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<configuration::Link, Peer>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
