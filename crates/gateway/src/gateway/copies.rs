//! The copies of the store that the daemon holds, and how old they are.

use std::cell::RefCell;

use log::info;

use crate::Gateway;
use crate::freshness;
use crate::freshness::Confirmation;
use crate::freshness::Kind;
use crate::freshness::Question;

impl Gateway {
    /// Returns how old the copies of the store are.
    pub const fn freshness(&self) -> &RefCell<freshness::Table> {
        &self.freshness
    }

    /// Returns the age of the copy of a kind in milliseconds, for the log; `None` if it was never
    /// confirmed.
    pub fn age_ms(&self, kind: Kind) -> Option<u64> {
        let age = self.freshness.borrow().age(kind, self.now());
        age.map(|age| age.as_millis() as u64)
    }

    /// Returns whether a newer configuration may be in force elsewhere, since the store has not
    /// confirmed this one for too long.
    pub fn is_config_outdated(&self) -> bool {
        let age = self.freshness.borrow().age(Kind::Config, self.now());
        age.is_none_or(|age| age > self.settings.config_limit)
    }

    /// Applies what a peer reports of its copy of a kind.
    pub fn merge_confirmation(&self, kind: Kind, reported: Confirmation) {
        let is_missing = self.freshness.borrow_mut().merge(kind, reported, self.now());
        if is_missing {
            info!(
                target: "store", kind:%, change:% = reported.last_change, age_ms = self.age_ms(kind);
                "a peer has seen a change that has not arrived here"
            );
            self.change_missed.notify_waiters();
        }
    }

    /// Returns how to ask the store for the changes of a kind.
    pub fn next_question(&self, kind: Kind) -> Question {
        self.freshness.borrow().question(kind, self.rank(), self.now())
    }

    /// Waits until the copy of a kind is overdue.
    pub async fn wait_until_overdue(&self, kind: Kind) {
        loop {
            let change_missed = self.change_missed.notified();
            let overdue_at = self.freshness.borrow().overdue_at(kind, self.rank());
            if overdue_at <= self.now() {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep_until(self.instant(overdue_at)) => {}
                () = change_missed => {}
            }
        }
    }

    /// Records that the store answered a request about the backend servers, before the answer is
    /// applied.
    pub fn record_fleet_answer(&self) {
        let now = self.now();
        if let Some(silence) = self.freshness.borrow().age(Kind::Servers, now) {
            self.fleet.borrow_mut().store_responded(silence, now);
        }
    }

    /// Returns how many living peers come before this daemon in the order of names.
    fn rank(&self) -> usize {
        self.peers.borrow().rank(&self.settings.name, self.now())
    }
}
