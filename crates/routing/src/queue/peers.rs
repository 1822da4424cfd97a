use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use kumquattiller_base::daemon;
use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;

use crate::account::demand::PEER_TIMEOUT;
use crate::queue::Consumption;
use crate::queue::Identity;
use crate::queue::Place;
use crate::queue::Pool;
use crate::queue::Report;
use crate::queue::Slot;

/// Time for which the promises of other daemons are recognised, also if the daemon has died since.
/// It covers the longest delay that callers with a
/// deadline of 30 s honour.
pub(super) const IDENTITY_RETENTION: Duration = Duration::from_secs(10);
/// Maximum number of promised requests of other daemons that are kept.
const MAX_IDENTITIES: usize = 4_096;

/// The last report of another daemon.
#[derive(Debug, Clone)]
struct Peer {
    at: Moment,
    report: Report,
}

/// What the other daemons have reported of their queues.
#[derive(Debug, Clone, Default)]
pub(super) struct Peers {
    peers: BTreeMap<daemon::Id, Peer>,
    /// When each promised request was last reported.
    promised: HashMap<Identity, Moment>,
    /// When each request was reported to have returned.
    returned: HashMap<Identity, Moment>,
}

impl Peers {
    /// Replaces what a daemon reported before. Returns the requests that have returned there.
    pub fn replace(&mut self, peer: daemon::Id, report: Report, now: Moment) -> Vec<Identity> {
        for identity in &report.returned {
            self.mark_returned(*identity, now);
        }
        for identity in &report.promised {
            let has_room =
                self.promised.len() < MAX_IDENTITIES || self.promised.contains_key(identity);
            if has_room && !self.returned.contains_key(identity) {
                self.promised.insert(*identity, now);
            }
        }
        let returned = report.returned.clone();
        self.peers.insert(peer, Peer { at: now, report });
        returned
    }

    /// Records that a request has returned, so that its promise counts no longer.
    pub fn mark_returned(&mut self, identity: Identity, now: Moment) {
        self.promised.remove(&identity);
        self.returned.insert(identity, now);
    }

    /// Returns whether another daemon promised to serve a request that has not returned yet.
    pub fn has_promised(&self, identity: Identity) -> bool {
        self.promised.contains_key(&identity)
    }

    /// Forgets what is too old. `max_age` is the age from which a report no longer counts.
    pub fn expire(&mut self, now: Moment, max_age: Duration) {
        for peer in self.peers.values_mut().filter(|p| now.since(p.at) > max_age) {
            peer.report.waiting.clear();
            peer.report.other_work = Duration::ZERO;
            peer.report.slots.clear();
        }
        self.peers.retain(|_, p| now.since(p.at) <= PEER_TIMEOUT);
        self.promised.retain(|_, at| now.since(*at) <= IDENTITY_RETENTION);
        self.returned.retain(|_, at| now.since(*at) <= IDENTITY_RETENTION);
    }

    /// Returns the age of the oldest report.
    pub fn oldest_age(&self, now: Moment) -> Duration {
        self.peers.values().map(|p| now.since(p.at)).max().unwrap_or_default()
    }

    /// Returns the waiting requests of the other daemons.
    pub fn waiting(&self) -> impl Iterator<Item = &Place> {
        self.peers.values().flat_map(|p| &p.report.waiting)
    }

    /// Returns the work of the waiting requests that the other daemons did not list, in all pools:
    /// reports do not divide it.
    pub fn other_work(&self) -> Duration {
        self.peers.values().map(|p| p.report.other_work).sum()
    }

    /// Returns the work that the other daemons have promised in a pool.
    pub fn promised_work(&self, pool: Pool) -> Duration {
        self.slots(pool).map(|(_, slot)| slot.work).sum()
    }

    /// Returns the memory that the other daemons have promised in a pool until a moment.
    pub fn promised_memory(&self, pool: Pool, until: Moment) -> Tokens {
        let due = self.slots(pool).filter(|(at, slot)| *at + slot.due_in <= until);
        due.fold(Tokens::ZERO, |sum, (_, slot)| sum.saturating_add(slot.footprint))
    }

    fn slots(&self, pool: Pool) -> impl Iterator<Item = (Moment, &Slot)> {
        let all = self.peers.values().flat_map(|p| p.report.slots.iter().map(|s| (p.at, s)));
        all.filter(move |(_, slot)| slot.pool == pool)
    }

    /// Returns what the other daemons reported of their consumers.
    pub fn consumptions(&self) -> impl Iterator<Item = Consumption> + '_ {
        self.peers.values().flat_map(|p| p.report.usages.iter().copied())
    }
}
