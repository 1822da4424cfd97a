//! Whether the daemon watches the store or listens to its peers, and when it asks the store.

use std::time::Duration;

use log::info;

use crate::Gateway;
use crate::freshness::Kind;
use crate::freshness::Question;
use crate::freshness::Role;

/// Interval at which a listener checks whether it has become a watcher.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Longest delay before a daemon that has just started asks the store again.
const STARTUP_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Delay before the store is asked again after a failure, while peers confirm the copy.
const CONFIRMED_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Number of peers that may ask the store once in a retry delay while it fails.
const PEERS_PER_RETRY: usize = 6;

impl Gateway {
    /// Returns how to ask the store for the changes of a kind.
    pub fn next_question(&self, kind: Kind) -> Question {
        let role = self.role();
        self.freshness.borrow().question(kind, self.rank(), role, self.now())
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

    /// Waits until this daemon is no longer a listener, the copy of a kind is overdue, or, for the copy of
    /// the daemons, the store has lost the registration of this daemon.
    pub async fn wait_while_listening(&self, kind: Kind) {
        let changed = async {
            let is_lost = || kind == Kind::Daemons && !self.is_registered();
            while self.role() == Role::Listener && !is_lost() {
                tokio::time::sleep(ROLE_CHECK_INTERVAL).await;
            }
        };
        tokio::select! {
            () = changed => {}
            () = self.wait_until_overdue(kind) => {}
        }
    }

    /// Waits until a peer reports a change of any kind that this daemon lacks.
    pub async fn wait_until_change_missed(&self) {
        self.change_missed.notified().await;
    }

    /// Waits before the store is asked again about a kind after a failure, for `delay` or longer;
    /// not as long if this daemon has just started and can serve nothing yet.
    ///
    /// A daemon whose copy peers confirm waits until it is overdue. Of many listeners whose copies
    /// are overdue only a few ask in each `delay`, since the answer to any of them helps all. A
    /// change that a peer reports ends the wait.
    pub async fn wait_before_retry(&self, kind: Kind, delay: Duration) {
        let is_overdue = self.freshness.borrow().overdue_at(kind, self.rank()) <= self.now();
        let limit = match (is_overdue, self.role()) {
            (false, _) => CONFIRMED_RETRY_DELAY,
            (true, _) if !self.is_loaded() => delay.min(STARTUP_RETRY_DELAY),
            (true, Role::Watcher) => delay,
            (true, Role::Listener) => delay * (self.peers_alive() / PEERS_PER_RETRY).max(1) as u32,
        };
        tokio::select! {
            () = tokio::time::sleep(limit.mul_f64(0.5 + rand::random::<f64>())) => {}
            () = self.wait_until_overdue(kind), if !is_overdue => {}
            () = self.change_missed.notified(), if is_overdue => {}
        }
    }

    /// Returns how this daemon learns of changes in the store. Logs each change of the role.
    pub fn role(&self) -> Role {
        let now = self.now();
        let peers = self.peers.borrow();
        let role = match &self.settings.zone {
            Some(zone) => Role::of(&self.settings.name, peers.sources(zone, now)),
            None => Role::Watcher,
        };
        if self.role.replace(Some(role)) != Some(role) {
            let alive = peers.alive(now);
            info!(target: "store", role:%, alive; "the role towards the store has changed");
        }
        role
    }

    /// Returns how many living peers come before this daemon in the order of names.
    fn rank(&self) -> usize {
        self.peers.borrow().rank(&self.settings.name, self.now())
    }
}
