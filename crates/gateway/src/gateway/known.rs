//! What a daemon knows: its configuration and the backend servers.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use kumquattiller_base::runner;
use log::error;
use log::info;
use log::warn;
use tokio::time::timeout;

use crate::Gateway;
use crate::fleet;
use crate::fleet::Change;
use crate::peer;
use crate::stop::Phase;

impl Gateway {
    /// Takes a configuration into force if it is newer than the present one. `source` tells the
    /// log where it came from.
    pub fn offer_config(&self, document: Bytes, source: &str) {
        let config = match self.dialect.config(&document) {
            Ok(config) => config,
            Err(reason) => {
                error!(target: "config", source, reason:%; "a configuration cannot be read");
                return;
            }
        };
        let (old, new) = (self.version(), config.version());
        if new <= old {
            return;
        }
        info!(
            target: "config", version:% = new, old:%, source, routes = config.route_count();
            "configuration in force"
        );
        *self.document.borrow_mut() = document;
        *self.config.borrow_mut() = Some(Rc::new(config));
        self.learned.notify_waiters();
    }

    /// Notes that the list of backend servers was read once.
    pub fn set_fleet_known(&self) {
        self.fleet_known.set(true);
        self.learned.notify_waiters();
    }

    /// Waits until the configuration and the servers are known, `limit` at most.
    pub async fn wait_known(&self, limit: Duration) {
        let known = async {
            loop {
                let learned = self.learned.notified();
                if self.is_known() {
                    return;
                }
                learned.await;
            }
        };
        if timeout(limit, known).await.is_err() {
            log::debug!(target: "request", "waited in vain for the configuration");
        }
    }

    fn is_known(&self) -> bool {
        self.config.borrow().is_some() && self.fleet_known.get()
    }

    /// Takes in the backend servers that a peer knows, where the store has not told of any yet.
    pub fn offer_fleet(&self, servers: &[peer::Server]) {
        if self.fleet_known.get() || servers.is_empty() {
            return;
        }
        for server in servers {
            match fleet::Server::try_from(server) {
                Ok(server) => _ = self.fleet.borrow_mut().put(server),
                Err(reason) => warn!(target: "peer", reason:%; "a peer's server cannot be read"),
            }
        }
        info!(target: "fleet", known = self.fleet.borrow().len(); "servers known from a peer");
        self.set_fleet_known();
    }

    /// Applies what a change of a registration means to the state of this daemon, and logs it.
    pub fn note_change(&self, id: &runner::Id, change: Change) {
        match change {
            Change::Same => return,
            Change::Joined => {
                self.health.borrow_mut().reset(id);
                self.pool.close_server(id);
            }
            Change::Leaving | Change::Gone | Change::Lapsed => {}
        }
        let known = self.fleet.borrow().len();
        info!(target: "fleet", server:% = id, change:%, known; "server changed");
    }

    /// Tells whether the balancer may send callers here.
    pub fn is_ready(&self) -> bool {
        self.is_known() && self.phase() == Phase::Serving
    }

    /// Claims the one fetch of a configuration that may run; returns false when one runs.
    pub fn begin_fetch(&self) -> bool {
        !self.fetching.replace(true)
    }

    /// Ends the fetch.
    pub fn end_fetch(&self) {
        self.fetching.set(false);
    }
}
