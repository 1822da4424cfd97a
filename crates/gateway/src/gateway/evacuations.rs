//! Evacuations of availability zones: the daemon's copy, and the servers that they concern.

use std::cell::RefCell;
use std::time::SystemTime;

use kumquattiller_base::place::Zone;
use kumquattiller_base::time::Moment;
use log::info;
use log::warn;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::Gateway;
use crate::changes::Change;
use crate::dialect::Helper;
use crate::evacuation;
use crate::fleet::Exclusion;
use crate::fleet::Server;
use crate::freshness::Kind;
use crate::http::Request;
use crate::peer;

impl Gateway {
    /// Returns the evacuated zones.
    pub const fn evacuations(&self) -> &RefCell<evacuation::Table> {
        &self.evacuations
    }

    /// Returns whether the platform evacuates zones.
    pub const fn follows_evacuations(&self) -> bool {
        self.settings.evacuation_limit.is_some()
    }

    /// Returns whether the evacuations are known, from the store or from a peer, or whether there are
    /// none.
    pub fn knows_evacuations(&self) -> bool {
        !self.follows_evacuations() || self.copy_revision(Kind::Evacuations).is_some()
    }

    /// Returns whether the evacuations have to come with a peer's document: none are known yet, or a
    /// change is missing and no peer is known that passes changes on. The latter is so in a daemon
    /// that has started without the store and does not know the registrations of its peers.
    pub(crate) fn needs_evacuations_from_document(&self) -> bool {
        if !self.knows_evacuations() {
            return true;
        }
        let missing = self.freshness.borrow().missing(Kind::Evacuations);
        missing.is_some_and(|change| self.holders(Kind::Evacuations, change).is_empty())
    }

    /// Wakes what waits for the evacuations. `is_first` states whether they were not known before.
    pub(super) fn note_evacuations_confirmed(&self, is_first: bool) {
        self.evacuations_confirmed.notify_waiters();
        if is_first {
            self.data_loaded.notify_waiters();
        }
    }

    /// Returns whether a server is in an evacuated zone. A server without a zone is in none.
    pub(crate) fn is_evacuated(&self, server: &Server) -> bool {
        server.zone.as_ref().is_some_and(|zone| self.evacuations.borrow().is_evacuated(zone))
    }

    /// Returns whether there are servers for a request in its regions, and all are evacuated.
    pub(super) fn is_all_evacuated(&self, request: &Request) -> bool {
        let fleet = self.fleet.borrow();
        let mut usable = fleet.usable(&request.service.name);
        usable.retain(|server| self.is_in_region(request, server));
        !usable.is_empty() && usable.into_iter().all(|server| self.is_evacuated(server))
    }

    /// Returns why a request must not be sent with these helpers, also if they were chosen before;
    /// `None` if it may.
    pub(super) fn withheld_helper(&self, helpers: &[Helper]) -> Option<Exclusion> {
        let fleet = self.fleet.borrow();
        let servers = helpers.iter().filter_map(|h| fleet.server(fleet.at(h.address)?));
        servers.into_iter().any(|s| self.is_evacuated(s)).then_some(Exclusion::Evacuated)
    }

    /// Replaces the evacuated zones by a complete list.
    pub(super) fn replace_evacuations(&self, objects: &[Change]) {
        let zones = objects.iter().filter_map(Change::evacuation);
        let difference = self.evacuations.borrow_mut().replace(zones);
        difference.added.iter().for_each(|zone| self.log_evacuation(zone));
        difference.removed.iter().for_each(|zone| self.log_return(zone));
    }

    /// Evacuates a zone.
    pub(super) fn put_evacuation(&self, zone: &Zone) {
        if self.evacuations.borrow_mut().put(zone.clone()) {
            self.log_evacuation(zone);
        }
    }

    /// Takes the evacuation of a zone back.
    pub(super) fn remove_evacuation(&self, zone: &Zone) {
        if self.evacuations.borrow_mut().remove(zone) {
            self.log_return(zone);
        }
    }

    fn log_evacuation(&self, zone: &Zone) {
        let (servers, age_ms) = (self.servers_in(zone), self.age_ms(Kind::Evacuations));
        info!(target: "fleet", zone:%, servers, age_ms; "zone evacuated");
        if self.fleet_loaded.get() {
            self.warn_if_empty(zone);
        }
    }

    /// Logs the evacuated zones in which no server is, since their names may be wrong.
    pub(super) fn warn_of_empty_zones(&self) {
        self.evacuations.borrow().zones().for_each(|zone| self.warn_if_empty(zone));
    }

    fn warn_if_empty(&self, zone: &Zone) {
        if self.servers_in(zone) == 0 {
            warn!(target: "fleet", zone:%; "no server is in the evacuated zone");
        }
    }

    fn log_return(&self, zone: &Zone) {
        let (servers, age_ms) = (self.servers_in(zone), self.age_ms(Kind::Evacuations));
        info!(target: "fleet", zone:%, servers, age_ms; "evacuation of the zone taken back");
    }

    fn servers_in(&self, zone: &Zone) -> usize {
        self.fleet.borrow().servers().filter(|server| server.zone.as_ref() == Some(zone)).count()
    }

    /// Applies the evacuations in a peer's document.
    pub(crate) fn load_evacuations_from_peer(&self, sent: peer::Response, asked_at: Moment) {
        match sent.decode_update(asked_at) {
            Ok(update) if update.kind == Kind::Evacuations => self.apply_update(update),
            Ok(update) => {
                warn!(target: "peer", kind:% = update.kind; "peer sent another kind as evacuations");
            }
            Err(reason) => warn!(target: "peer", reason:%; "peer sent invalid evacuations"),
        }
    }

    /// Checks whether the process did not run for so long that it may have missed an evacuation. If
    /// so, requests are held back until the copy is confirmed, unless the store does not know
    /// evacuations. After a shorter pause an evacuation is applied in time without that.
    pub(super) fn detect_missed_evacuations(&self) {
        let Some(limit) = self.settings.evacuation_limit else {
            return;
        };
        let pause = self.send_pauses.borrow_mut().check(Instant::now(), SystemTime::now());
        let is_known = self.copy_revision(Kind::Evacuations).is_some_and(|r| r.number() > 0);
        if is_known && pause.is_some_and(|pause| pause >= limit / 2) {
            self.evacuation_hold.borrow_mut().begin(self.now());
        }
    }

    /// Waits until it is known which zones are evacuated, if the process did not run for a while.
    pub async fn wait_until_evacuations_confirmed(&self) {
        self.detect_missed_evacuations();
        loop {
            let confirmed = self.evacuations_confirmed.notified();
            let now = self.now();
            let age = self.freshness.borrow().age(Kind::Evacuations, now);
            let left = self.evacuation_hold.borrow_mut().left(age.map(|age| now - age), now);
            if left.is_zero() {
                return;
            }
            _ = timeout(left, confirmed).await;
        }
    }
}
