//! Updates of the configuration and of the backend servers.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use kumquattiller_base::runner;
use log::error;
use log::info;
use log::warn;
use tokio::time::timeout;

use crate::Gateway;
use crate::dialect::ResponseInfo;
use crate::fleet;
use crate::fleet::Change;
use crate::freshness::Source;
use crate::peer;
use crate::stop::Phase;

impl Gateway {
    /// Applies a configuration if it is newer than the current one. `source` is for the log.
    pub fn update_config(&self, document: Bytes, source: Source) {
        let config = match self.dialect.config(&document) {
            Ok(config) => config,
            Err(reason) => {
                error!(target: "config", source:%, reason:%; "invalid configuration ignored");
                return;
            }
        };
        let (old, new) = (self.version(), config.version());
        if new <= old {
            return;
        }
        info!(
            target: "config", version:% = new, old:%, source:%, routes = config.route_count();
            "configuration in force"
        );
        self.warn_of_unknown_regions(&config);
        *self.document.borrow_mut() = document;
        let is_first = self.config.replace(Some(Rc::new(config))).is_none();
        if is_first {
            self.apply_first_cold_starts();
        }
        self.data_loaded.notify_waiters();
    }

    /// Records that the list of backend servers has been loaded.
    pub fn set_fleet_loaded(&self) {
        if !self.fleet_loaded.replace(true) {
            self.warn_of_empty_zones();
        }
        self.data_loaded.notify_waiters();
    }

    /// Waits until the configuration, the servers and the evacuations are loaded, for at most `limit`.
    pub async fn wait_until_loaded(&self, limit: Duration) {
        let loaded = async {
            loop {
                let notified = self.data_loaded.notified();
                if self.is_loaded() {
                    return;
                }
                notified.await;
            }
        };
        if timeout(limit, loaded).await.is_err() {
            log::debug!(target: "request", "timed out waiting for configuration and servers");
        }
    }

    /// Returns whether the daemon has a configuration, the backend servers and the evacuations.
    pub fn is_loaded(&self) -> bool {
        self.config.borrow().is_some() && self.fleet_loaded.get() && self.knows_evacuations()
    }

    /// Adds the backend servers that a peer knows, unless the servers have already been loaded.
    pub fn load_fleet_from_peer(&self, servers: &[peer::Server]) {
        if self.fleet_loaded.get() || servers.is_empty() {
            return;
        }
        for server in servers {
            match fleet::Server::try_from(server) {
                Ok(server) => {
                    let news = self.new_cold_registrations(std::iter::once(&server));
                    self.fleet.borrow_mut().put(server);
                    self.apply_cold_registrations(&news);
                }
                Err(reason) => warn!(target: "peer", reason:%; "peer sent an invalid server"),
            }
        }
        info!(target: "fleet", known = self.fleet.borrow().len(); "servers loaded from a peer");
        self.set_fleet_loaded();
    }

    /// Adds or updates the registration of a server.
    pub(super) fn put_server(&self, server: fleet::Server) {
        let news = self.new_cold_registrations(std::iter::once(&server));
        let id = server.id.clone();
        let effect = self.fleet.borrow_mut().put(server);
        self.apply_server_change(&id, effect);
        self.apply_cold_registrations(&news);
    }

    /// Logs a change of a server's registration. If the server is new or has restarted, discards
    /// its health record and its idle connections.
    pub fn apply_server_change(&self, id: &runner::Id, change: Change) {
        match change {
            Change::Same => return,
            Change::Joined => {
                if self.fleet_loaded.get() {
                    self.starts.borrow_mut().record(id, self.now());
                }
                self.health.borrow_mut().reset(id);
                if let Some(server) = self.fleet.borrow().server(id) {
                    let (start_key, now) = (server.start_key(), self.now());
                    self.backoffs.borrow_mut().restart(id, start_key, now);
                    self.rate_limits.borrow_mut().restart(id, start_key, now);
                }
                self.forget_prefixes(id);
                self.pool.close_server(id);
                self.wake_queue();
            }
            Change::Draining | Change::Gone | Change::Lapsed => {}
        }
        let known = self.fleet.borrow().len();
        info!(target: "fleet", server:% = id, change:%, known; "server changed");
    }

    /// Applies what a server says of itself in a response: that it is leaving, how much longer it is
    /// cold, or that it wants no requests for a while.
    pub fn apply_server_state(&self, server: &fleet::Server, info: &ResponseInfo) {
        if info.leaving {
            self.mark_leaving(&server.id);
        }
        if let Some(left) = info.cold_left {
            self.apply_cold_response(server, left);
        }
        if let Some(pause) = info.pause {
            self.pause_server(server, pause);
        }
    }

    /// Returns the time for which a server wants no requests, zero if it takes them.
    pub fn pause_left(&self, server: &runner::Id) -> Duration {
        self.backoffs.borrow().left(server, self.now())
    }

    /// Returns whether a server wants no requests now.
    pub fn is_paused(&self, server: &runner::Id) -> bool {
        !self.pause_left(server).is_zero()
    }

    /// Returns whether a server may get a call for a request that it runs, and counts it against
    /// those that it gets in a pause.
    pub fn allow_call(&self, server: &runner::Id) -> bool {
        self.backoffs.borrow_mut().allow_call(server, self.now())
    }

    /// Records that a server wants no requests for a while.
    fn pause_server(&self, server: &fleet::Server, pause: Duration) {
        let (start_key, now) = (server.start_key(), self.now());
        let granted = self.backoffs.borrow_mut().ask(&server.id, start_key, pause, now);
        if let Some(granted) = granted {
            let ms = granted.as_millis() as u64;
            info!(target: "fleet", server:% = server.id, ms; "the server asks for a pause");
            self.metrics.server_paused();
        }
    }

    /// Records that a server states in a response that it is leaving, and tells the peers at once. It
    /// gets no further work until it has restarted.
    fn mark_leaving(&self, id: &runner::Id) {
        let start_key = self.fleet.borrow().server(id).map(fleet::Server::start_key);
        let marked = self.fleet.borrow_mut().mark_draining(start_key.as_slice());
        if !marked.is_empty() {
            info!(target: "fleet", server:% = id; "the server states that it is leaving");
            self.metrics.server_leaving();
            self.request_report();
        }
    }

    /// Returns whether the load balancer may send requests to this daemon.
    pub fn is_ready(&self) -> bool {
        self.is_loaded() && self.phase() == Phase::Serving
    }

    /// Marks a fetch from a peer as running; returns `false` if one is running already.
    pub fn begin_fetch(&self) -> bool {
        !self.fetching.replace(true)
    }

    /// Marks the fetch as finished.
    pub fn end_fetch(&self) {
        self.fetching.set(false);
    }
}
