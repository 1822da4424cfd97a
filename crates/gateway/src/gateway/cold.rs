//! Servers that start cold, and this daemon's shares of the rates that they tolerate.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use kumquattiller_base::daemon;
use kumquattiller_base::runner;
use log::info;
use log::warn;

use crate::Gateway;
use crate::config::ColdStart;
use crate::fleet;
use crate::rate_limit;
use crate::rate_limit::Change;
use crate::rate_limit::ColdStatement;
use crate::rate_limit::MAX_COLD_TIME;
use crate::rate_limit::Origin;
use crate::rate_limit::Terms;

/// A registration that states something new of a server's incarnation or cold state.
#[derive(Debug, Clone)]
pub(super) struct ColdRegistration {
    server: fleet::Server,
    /// Whether the incarnation is new.
    has_started: bool,
}

impl Gateway {
    /// Returns the servers whose registrations state something new of an incarnation or its cold
    /// state. To be called before the registrations are applied. A registration that states the same
    /// as before is an old statement.
    pub(super) fn new_cold_registrations<'a>(
        &self,
        servers: impl Iterator<Item = &'a fleet::Server>,
    ) -> Vec<ColdRegistration> {
        let fleet = self.fleet.borrow();
        let news = |s: &fleet::Server| {
            let known = fleet.server(&s.id).filter(|known| known.started_ms == s.started_ms);
            let is_news = known.is_none_or(|known| known.cold_left != s.cold_left);
            let has_started = known.is_none();
            is_news.then(|| ColdRegistration { server: s.clone(), has_started })
        };
        servers.filter_map(news).collect()
    }

    /// Applies what new registrations state of the cold state of their servers. An incarnation that
    /// states no cold time is cold for the time that its service states, from its start.
    pub(super) fn apply_cold_registrations(&self, news: &[ColdRegistration]) {
        for ColdRegistration { server, has_started } in news {
            let left = match server.cold_left.is_zero() && *has_started {
                true => self.left_after_start(server, self.fleet_loaded.get()),
                false => server.cold_left,
            };
            self.record_cold(server, ColdStatement::now(left), Origin::Registration, "store");
        }
        if !news.is_empty() {
            self.update_cold_shares();
        }
    }

    /// Applies the cold starts of the first configuration to servers that were known before it and
    /// state no cold time.
    pub(super) fn apply_first_cold_starts(&self) {
        let servers: Vec<fleet::Server> = self.fleet.borrow().servers().collect();
        for server in servers.iter().filter(|server| server.cold_left.is_zero()) {
            let left = ColdStatement::now(self.left_after_start(server, false));
            if !left.left.is_zero() {
                self.record_cold(server, left, Origin::Registration, "config");
            }
        }
        self.update_cold_shares();
    }

    /// Applies how much longer a server is cold by its response. A change is reported to the peers
    /// at once. What a previous incarnation states is ignored.
    pub(super) fn apply_cold_response(&self, server: &fleet::Server, left: Duration) {
        let known = self.fleet.borrow().server(&server.id).map(fleet::Server::start_key);
        if known.is_some_and(|key| key != server.start_key()) {
            return;
        }
        if self.record_cold(server, ColdStatement::now(left), Origin::Response, "response") {
            self.update_cold_shares();
            self.request_report();
        }
    }

    /// Applies what a peer reports of cold servers.
    pub(super) fn merge_cold(&self, peer: &daemon::Id, reports: &[rate_limit::Report]) {
        let mut has_changed = false;
        for report in reports {
            let Some(statement) = report.cold else {
                continue;
            };
            let server = {
                let fleet = self.fleet.borrow();
                fleet.by_start_key(report.server).and_then(|id| fleet.server(id)).cloned()
            };
            if let Some(server) = server {
                has_changed |= self.record_cold(&server, statement, Origin::Peer, peer.as_str());
            }
        }
        if has_changed {
            self.update_cold_shares();
        }
    }

    /// Records that a server is cold or warm; returns whether that is a change. `source` is for the
    /// log.
    fn record_cold(
        &self,
        server: &fleet::Server,
        statement: ColdStatement,
        origin: Origin,
        source: &str,
    ) -> bool {
        let ColdStatement { left, age } = statement;
        let age_ms = age.as_millis() as u64;
        if left > MAX_COLD_TIME {
            let limit_s = MAX_COLD_TIME.as_secs();
            warn!(target: "fleet", server:% = server.id, left:?, limit_s, source; "cold time reduced to the limit");
        }
        let (start_key, now) = (server.start_key(), self.now());
        let mut limits = self.rate_limits.borrow_mut();
        let change = limits.record_cold(&server.id, start_key, statement, origin, now);
        let cold = limits.cold(now);
        drop(limits);
        match change {
            Some(Change::Cold(left)) => {
                let ms = left.as_millis() as u64;
                let per_s = self.cold_start(server).map_or(0.0, |s| s.rate.per_second());
                info!(
                    target: "fleet", server:% = server.id, ms, per_s, origin:%, source, age_ms, cold;
                    "the server is cold"
                );
                self.metrics.server_cold();
            }
            Some(_) => {
                info!(
                    target: "fleet", server:% = server.id, origin:%, source, age_ms, cold;
                    "the server is warm"
                );
            }
            None => {}
        }
        change.is_some()
    }

    /// Determines this daemon's shares of the rates of cold servers again. Without a list of the
    /// daemons it has none.
    pub(super) fn update_cold_shares(&self) {
        if !self.has_cold_starts() && self.rate_limits.borrow().is_empty() {
            return;
        }
        let now = self.now();
        self.update_roster();
        let roster = self.roster.borrow();
        let (bound, join_delay) = (self.settings.cold_bound, self.join_delay());
        let terms = |id: &runner::Id| {
            let fleet = self.fleet.borrow();
            let cold_start = fleet.server(id).and_then(|server| self.cold_start(server));
            Terms { rate: cold_start.map(|s| s.rate), bound, join_delay }
        };
        self.rate_limits.borrow_mut().update_cold_shares(&self.settings.name, &roster, terms, now);
    }

    fn has_cold_starts(&self) -> bool {
        self.config().is_some_and(|config| config.has_cold_starts())
    }

    /// Returns how the servers of a server's service behave after their start.
    fn cold_start(&self, server: &fleet::Server) -> Option<ColdStart> {
        self.config()?.service(&server.service)?.cold_start
    }

    /// Returns how much longer a server is cold that states no cold time. One that joins while this
    /// daemon runs has just started, as far as known; of others the stated start counts.
    fn left_after_start(&self, server: &fleet::Server, is_joining: bool) -> Duration {
        let Some(cold_start) = self.cold_start(server) else {
            return Duration::ZERO;
        };
        if is_joining {
            return cold_start.duration;
        }
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let started = server.started_ms.map(Duration::from_millis);
        let age = started.map_or(Duration::ZERO, |started| since_epoch.saturating_sub(started));
        cold_start.duration.saturating_sub(age)
    }
}
