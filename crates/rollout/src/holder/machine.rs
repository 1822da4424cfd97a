use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use kumquattiller_base::time::Moment;
use kumquattiller_inventory::Version;
use kumquattiller_inventory::diff::Delta;
use kumquattiller_inventory::section::Items;

use crate::holder::State;

/// Time without confirmation after which a process reports itself stale.
pub const FRESHNESS_LIMIT: Duration = Duration::from_secs(10);
/// Peers that a process needs to hear before it is ready, when it has as many.
const START_SOURCES: usize = 2;
/// Deltas that are kept for processes some versions behind.
const MAX_KEPT_DELTAS: usize = 64;

/// What became of an offered version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Adoption {
    /// It is now the held one.
    Adopted,
    /// It is not higher than the held one.
    Ignored,
    /// It starts from another version or does not fit; the whole is needed.
    WholeNeeded,
}

/// The accepted configuration as one process knows it.
#[derive(Debug, Default)]
pub struct Holder {
    version: Version,
    items: Arc<Items>,
    kept: VecDeque<Arc<Delta>>,
    /// Highest version that any source showed.
    shown: Version,
    confirmed_at: Option<Moment>,
    /// Sources that confirmed since the start, until there are enough.
    sources: BTreeSet<String>,
    /// Peers that hold this version but have lost touch themselves.
    stale_sources: BTreeSet<String>,
    peers: usize,
    seen_store: bool,
}

impl Holder {
    /// Returns the held version; [`Version::NONE`] before the first.
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Returns the highest version that any source showed.
    pub fn shown(&self) -> Version {
        self.shown.max(self.version)
    }

    /// Returns the held items.
    pub fn items(&self) -> &Arc<Items> {
        &self.items
    }

    /// Sets how many peers the process has.
    pub const fn set_peers(&mut self, count: usize) {
        self.peers = count;
    }

    /// Records that `source`, asked at `asked_at`, holds `version`, and whether a source confirmed
    /// it to that one lately.
    ///
    /// Sources that have lost touch themselves count only when they are more than half of the
    /// peers, as after a pause of the whole availability zone; two processes that wake together
    /// do not vouch for each other. Returns whether the version must be fetched.
    pub fn confirm(
        &mut self,
        source: &str,
        version: Version,
        asked_at: Moment,
        ready: bool,
    ) -> bool {
        self.shown = self.shown.max(version);
        if version > self.version {
            return true;
        }
        if self.version == Version::NONE || version == Version::NONE {
            return false;
        }
        if !ready {
            self.stale_sources.insert(source.to_owned());
            if self.stale_sources.len() * 2 <= self.peers {
                return false;
            }
        }
        self.stale_sources.clear();
        self.confirmed_at = self.confirmed_at.max(Some(asked_at));
        if self.sources.len() < START_SOURCES {
            self.sources.insert(source.to_owned());
        }
        false
    }

    /// Takes a version when it is higher than the held one.
    pub fn offer(&mut self, delta: &Arc<Delta>) -> Adoption {
        if delta.version <= self.version {
            return Adoption::Ignored;
        }
        self.shown = self.shown.max(delta.version);
        if !delta.is_whole() && delta.base != self.version {
            return Adoption::WholeNeeded;
        }
        let Ok(items) = delta.apply(&self.items) else {
            return Adoption::WholeNeeded;
        };
        self.keep(delta);
        self.version = delta.version;
        self.items = Arc::new(items);
        Adoption::Adopted
    }

    /// Records that the platform's store, asked at `asked_at`, holds the present version.
    pub fn confirm_by_store(&mut self, asked_at: Moment) {
        self.confirmed_at = self.confirmed_at.max(Some(asked_at));
        self.stale_sources.clear();
        self.seen_store = true;
    }

    fn keep(&mut self, delta: &Arc<Delta>) {
        if delta.is_whole() {
            self.kept.clear();
            return;
        }
        self.kept.push_back(Arc::clone(delta));
        if self.kept.len() > MAX_KEPT_DELTAS {
            self.kept.pop_front();
        }
    }

    /// Returns what a process at version `have` needs, or `None` when it needs nothing.
    pub fn update_for(&self, have: Version) -> Option<Arc<Delta>> {
        if have >= self.version {
            return None;
        }
        let start = self.kept.iter().position(|delta| delta.base == have);
        let Some(start) = start.filter(|_| have > Version::NONE) else {
            return Some(Arc::new(Delta::whole(self.version, &self.items)));
        };
        let mut chain = self.kept.iter().skip(start);
        let first = chain.next().cloned()?;
        Some(chain.fold(first, |joined, next| Arc::new(joined.then(next))))
    }

    /// Tells whether enough sources confirmed since the start.
    fn has_started(&self) -> bool {
        self.seen_store || self.sources.len() >= START_SOURCES.min(self.peers)
    }

    /// Tells whether the process may act on its configuration.
    pub fn state(&self, now: Moment) -> State {
        if self.version == Version::NONE {
            return State::Empty;
        }
        let Some(confirmed_at) = self.confirmed_at else {
            return State::Stale { age: Duration::MAX };
        };
        let age = now.since(confirmed_at);
        if age > FRESHNESS_LIMIT || !self.has_started() {
            return State::Stale { age };
        }
        if self.shown > self.version { State::Behind } else { State::Fresh }
    }
}
