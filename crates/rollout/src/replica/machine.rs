use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use kumquattiller_base::time::Moment;
use kumquattiller_inventory::Version;
use kumquattiller_inventory::diff::Delta;
use kumquattiller_inventory::section::Items;

use crate::replica::State;

/// Age of the last confirmation above which a process reports itself stale.
pub const FRESHNESS_LIMIT: Duration = Duration::from_secs(10);
/// Peers that must confirm that there is no newer version before a started process is ready; all
/// peers when there are fewer.
const MIN_STARTUP_SOURCES: usize = 2;
/// Most recent deltas that are retained for peers that are a few versions behind.
const MAX_RECENT_DELTAS: usize = 64;

/// Result of offering a version to a [`Replica`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Adoption {
    /// The replica now has the offered version.
    Adopted,
    /// The offered version is not higher than the current one.
    Ignored,
    /// The delta has another base or its result does not have the expected digest; a delta from the
    /// current version or the full version has to be fetched.
    NotApplicable,
}

/// The copy of the accepted configuration in one process.
#[derive(Debug, Default)]
pub struct Replica {
    version: Version,
    items: Arc<Items>,
    /// Consecutive deltas that lead to `version`, oldest first.
    recent_deltas: VecDeque<Arc<Delta>>,
    /// Highest version that any source has reported.
    highest_seen: Version,
    /// When the request of the latest confirmation was sent.
    confirmed_at: Option<Moment>,
    /// Peers that have confirmed since the start; not extended beyond [`MIN_STARTUP_SOURCES`].
    confirmed_by_peers: BTreeSet<String>,
    /// Peers that have no higher version but are not ready themselves.
    stale_peers: BTreeSet<String>,
    peer_count: usize,
    confirmed_by_store: bool,
}

impl Replica {
    /// Returns the current version; [`Version::NONE`] before the first one.
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Returns the highest version that any source has reported.
    pub fn highest_seen(&self) -> Version {
        self.highest_seen.max(self.version)
    }

    /// Returns the items of the current version.
    pub fn items(&self) -> &Arc<Items> {
        &self.items
    }

    /// Sets the number of peers of the process.
    pub const fn set_peer_count(&mut self, count: usize) {
        self.peer_count = count;
    }

    /// Records that the peer `source`, asked at `asked_at`, has `version`; `ready` tells whether
    /// that peer is ready itself. Returns whether the version must be fetched.
    ///
    /// Peers that are not ready confirm a version only when they are more than half of all peers,
    /// as after a pause of the whole availability zone. Otherwise two processes that resume from a
    /// pause at the same time could confirm an outdated version to each other.
    pub fn confirm_by_peer(
        &mut self,
        source: &str,
        version: Version,
        asked_at: Moment,
        ready: bool,
    ) -> bool {
        self.highest_seen = self.highest_seen.max(version);
        if version > self.version {
            return true;
        }
        if self.version == Version::NONE || version == Version::NONE {
            return false;
        }
        if !ready {
            self.stale_peers.insert(source.to_owned());
            if self.stale_peers.len() * 2 <= self.peer_count {
                return false;
            }
        }
        self.stale_peers.clear();
        self.confirmed_at = self.confirmed_at.max(Some(asked_at));
        if self.confirmed_by_peers.len() < MIN_STARTUP_SOURCES {
            self.confirmed_by_peers.insert(source.to_owned());
        }
        false
    }

    /// Applies `delta` if its version is higher than the current one.
    pub fn try_adopt(&mut self, delta: &Arc<Delta>) -> Adoption {
        if delta.version <= self.version {
            return Adoption::Ignored;
        }
        self.highest_seen = self.highest_seen.max(delta.version);
        if !delta.is_full() && delta.base != self.version {
            return Adoption::NotApplicable;
        }
        let Ok(items) = delta.apply(&self.items) else {
            return Adoption::NotApplicable;
        };
        self.record_delta(delta);
        self.version = delta.version;
        self.items = Arc::new(items);
        Adoption::Adopted
    }

    /// Records that the platform's store, asked at `asked_at`, has the current version.
    pub fn confirm_by_store(&mut self, asked_at: Moment) {
        self.confirmed_at = self.confirmed_at.max(Some(asked_at));
        self.stale_peers.clear();
        self.confirmed_by_store = true;
    }

    fn record_delta(&mut self, delta: &Arc<Delta>) {
        if delta.is_full() {
            self.recent_deltas.clear();
            return;
        }
        self.recent_deltas.push_back(Arc::clone(delta));
        if self.recent_deltas.len() > MAX_RECENT_DELTAS {
            self.recent_deltas.pop_front();
        }
    }

    /// Returns the delta from version `have` to the current one, or `None` when `have` is not
    /// lower.
    ///
    /// The delta contains the full version when the recent deltas do not reach back to `have`.
    pub fn update_for(&self, have: Version) -> Option<Arc<Delta>> {
        if have >= self.version {
            return None;
        }
        let start = self.recent_deltas.iter().position(|delta| delta.base == have);
        let Some(start) = start.filter(|_| have > Version::NONE) else {
            return Some(Arc::new(Delta::full(self.version, &self.items)));
        };
        let mut chain = self.recent_deltas.iter().skip(start);
        let first = chain.next().cloned()?;
        Some(chain.fold(first, |combined, next| Arc::new(combined.then(next))))
    }

    /// Returns whether enough sources have confirmed since the start.
    fn has_startup_confirmations(&self) -> bool {
        self.confirmed_by_store
            || self.confirmed_by_peers.len() >= MIN_STARTUP_SOURCES.min(self.peer_count)
    }

    /// Returns how current the configuration is at `now`.
    pub fn state(&self, now: Moment) -> State {
        if self.version == Version::NONE {
            return State::Empty;
        }
        let Some(confirmed_at) = self.confirmed_at else {
            return State::Stale { age: Duration::MAX };
        };
        let age = now.since(confirmed_at);
        if age > FRESHNESS_LIMIT || !self.has_startup_confirmations() {
            return State::Stale { age };
        }
        if self.highest_seen > self.version { State::Behind } else { State::Fresh }
    }
}
