//! Rate limits that servers state, and this daemon's shares of them.

use std::cell::RefCell;
use std::time::Duration;

use kumquattiller_base::daemon;
use kumquattiller_base::runner;
use kumquattiller_base::time::Moment;
use log::info;

use crate::Gateway;
use crate::fleet;
use crate::freshness::Kind;
use crate::load::report_interval;
use crate::placement::Placement;
use crate::rate_limit;
use crate::rate_limit::Change;
use crate::rate_limit::Rate;

/// Shortest time for which a daemon uses a limited server before it takes a share of the limit.
const MIN_JOIN_DELAY: Duration = Duration::from_millis(500);
/// Number of intervals between reports for which it does so.
const JOIN_INTERVALS: u32 = 2;
/// Share from which a server may get reservations, each of which takes a call a second, in requests
/// a second.
const MIN_RESERVING_SHARE: f64 = 2.0;

impl Gateway {
    /// Returns the rate limits of the servers.
    pub const fn rate_limits(&self) -> &RefCell<rate_limit::Table> {
        &self.rate_limits
    }

    /// Applies the limit that a server states, or no longer states, in a response to what was sent
    /// at `sent_at`. A change is reported to the peers at once.
    pub fn apply_rate_limit(&self, server: &fleet::Server, rate: Option<Rate>, sent_at: Moment) {
        if rate.is_none() && self.rate_limits.borrow().is_empty() {
            return;
        }
        let (start_key, now) = (server.start_key(), self.now());
        let change = self
            .rate_limits
            .borrow_mut()
            .record_statement(&server.id, start_key, rate, sent_at, now);
        if let Some(change) = change {
            self.log_rate_limit(&server.id, change, "response");
            self.update_rate_shares();
            self.request_report();
        }
    }

    /// Applies what a peer reports of rate limits.
    pub fn merge_rate_limits(&self, peer: &daemon::Id, reports: &[rate_limit::Report]) {
        if reports.is_empty() && self.rate_limits.borrow().is_empty() {
            return;
        }
        self.merge_cold(peer, reports);
        let resolve = |key| self.fleet.borrow().by_start_key(key).cloned();
        let changes = self.rate_limits.borrow_mut().merge(peer, reports, resolve, self.now());
        for (server, change) in changes {
            self.log_rate_limit(&server, change, peer.as_str());
        }
    }

    fn log_rate_limit(&self, server: &runner::Id, change: Change, source: &str) {
        let limited = self.rate_limits.borrow().limited();
        match change {
            Change::Stated(rate) => {
                info!(
                    target: "fleet", server:%, per_s = rate.per_second(), source, limited;
                    "the server states a rate limit"
                );
                self.metrics.rate_limit_stated();
            }
            Change::Lifted => {
                info!(
                    target: "fleet", server:%, source, limited;
                    "the server states no rate limit any more"
                );
            }
            Change::Cold(_) | Change::Warm => {}
        }
    }

    /// Determines this daemon's shares of the limits again.
    pub fn update_rate_shares(&self) {
        let mut limits = self.rate_limits.borrow_mut();
        if limits.is_empty() {
            return;
        }
        let now = self.now();
        let peers = self.peers.borrow();
        let sending: Vec<&daemon::Id> = peers.serving(now).collect();
        limits.update_shares(&self.settings.name, sending.into_iter(), self.join_delay(), now);
    }

    /// Compares the roster with the daemons that are known, if that is due and there is a list of them.
    pub(super) fn update_roster(&self) {
        let (now, mut roster) = (self.now(), self.roster.borrow_mut());
        if self.copy_revision(Kind::Daemons).is_some() && roster.is_due(now) {
            roster.observe(self.peers.borrow().ids(), now);
        }
    }

    /// Returns the time in which daemons hear of one another.
    pub(super) fn join_delay(&self) -> Duration {
        (report_interval(self.peers.borrow().len()) * JOIN_INTERVALS).max(MIN_JOIN_DELAY)
    }

    /// Keeps of `servers` those that take a request now. `is_reserving` is whether the request
    /// reserves memory, which takes more calls to a server than a low limit leaves room for. Calls
    /// for a reservation do not wait, so a cold server, which may crash of them, gets none.
    pub(super) fn retain_within_limits(
        &self,
        servers: &mut Vec<&fleet::Server>,
        is_reserving: bool,
        now: Moment,
    ) {
        let mut limits = self.rate_limits.borrow_mut();
        if limits.is_empty() {
            return;
        }
        let mut is_new_user = false;
        servers.retain(|s| {
            is_new_user |= limits.record_demand(&s.id, now);
            let is_open = limits.is_open(&s.id, now);
            let may_reserve = || {
                let share = limits.share(&s.id, now);
                let is_warm = limits.cold_left(&s.id, now).is_zero();
                is_warm && share.is_none_or(|share| share.per_second() >= MIN_RESERVING_SHARE)
            };
            is_open && (!is_reserving || may_reserve())
        });
        if is_new_user {
            self.request_report();
        }
    }

    /// Counts the request at each server of its placement.
    pub(super) fn count_against_limits(&self, placement: &Placement) {
        let mut limits = self.rate_limits.borrow_mut();
        if limits.is_empty() {
            return;
        }
        let now = self.now();
        std::iter::once(&placement.server)
            .chain(&placement.helpers)
            .for_each(|server| limits.take(server, now));
    }

    /// Counts a call for a reservation, which does not wait: its request is running.
    pub fn count_reservation_call(&self, server: &runner::Id) {
        self.rate_limits.borrow_mut().take(server, self.now());
    }

    /// Returns whether a server has stated a rate limit or is cold.
    pub fn is_rate_limited(&self, server: &runner::Id) -> bool {
        let limits = self.rate_limits.borrow();
        limits.rate(server).is_some() || !limits.cold_left(server, self.now()).is_zero()
    }
}
