use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use kumquattiller_base::daemon;
use kumquattiller_base::size::Bytes;
use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;

use crate::queue::Consumer;
use crate::queue::Consumption;
use crate::queue::Entry;
use crate::queue::Identity;
use crate::queue::Key;
use crate::queue::Place;
use crate::queue::Pool;
use crate::queue::Promise;
use crate::queue::Promises;
use crate::queue::Reason;
use crate::queue::Refusal;
use crate::queue::Report;
use crate::queue::Shares;
use crate::queue::Shortage;
use crate::queue::Turn;
use crate::queue::Usage;
use crate::queue::peers::IDENTITY_RETENTION;
use crate::queue::peers::Peers;
use crate::queue::usage::Dated;
use crate::queue::waiting::Waiting;

/// Divisor of the time that a caller has left which gives the longest delay that it honours.
const RETRY_DIVISOR: u32 = 3;
/// Part of the capacity that is promised. The rest makes up for errors of the estimate and for what
/// other daemons promise before their reports arrive.
const PROMISED_FRACTION: f64 = 0.8;
/// Time before they are due from which on memory is kept for promises.
const RESERVE_LEAD: Duration = Duration::from_secs(1);
/// Shortest time after which a request that was declined is tried again without a wake-up.
const MIN_RETRY: Duration = Duration::from_millis(100);
/// Maximum number of waiting requests in a report.
const MAX_REPORTED_WAITING: usize = 8;
/// Maximum number of sums of promises in a report.
const MAX_REPORTED_SLOTS: usize = 16;
/// Maximum number of promised and of returned requests in a report.
const MAX_REPORTED_IDENTITIES: usize = 32;
/// Maximum number of consumers in a report.
const MAX_REPORTED_CONSUMERS: usize = 24;
/// Usage below which a consumer is forgotten, in tokens.
const MIN_USAGE: f64 = 1.0;

/// Bounds of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of waiting requests.
    pub entries: usize,
    /// Maximum size of the bodies of all waiting requests.
    pub bytes: Bytes,
}

/// A promised request that has returned to this daemon.
#[derive(Debug, Clone, Copy)]
struct Return {
    identity: Identity,
    at: Moment,
}

/// The requests that wait at one daemon, and what it knows of those at others.
#[derive(Debug, Clone)]
pub struct Queue {
    limits: Limits,
    next: u64,
    waiting: BTreeMap<Key, Waiting>,
    promises: Promises,
    /// Promised requests that have returned to this daemon, newest last.
    returned: VecDeque<Return>,
    peers: Peers,
    usages: HashMap<Consumer, Dated>,
    shares: Shares,
}

impl Queue {
    /// Creates an empty queue.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            next: 0,
            waiting: BTreeMap::new(),
            promises: Promises::default(),
            returned: VecDeque::new(),
            peers: Peers::default(),
            usages: HashMap::new(),
            shares: Shares::default(),
        }
    }

    /// Adds a request. In a full queue the least valuable entry makes room, which may be this one;
    /// its next turn is a refusal.
    pub fn arrive(&mut self, entry: Entry, now: Moment) -> Key {
        let promised = entry.identity.is_some_and(|identity| self.redeem(identity, now));
        let asked = if promised { 0.0 } else { entry.footprint.get() as f64 };
        self.count(entry.consumer, Usage { asked, served: 0.0 }, now);
        let key = Key(self.next);
        self.next += 1;
        self.waiting.insert(key, Waiting::new(entry, promised, now));
        while self.is_overfull() {
            let kept = self.waiting.iter_mut().filter(|(_, w)| !w.displaced);
            match kept.min_by(|a, b| a.1.compare_worth(b.1)) {
                Some((_, least)) => least.displaced = true,
                None => break,
            }
        }
        self.update_shares(now);
        key
    }

    /// Decides what a waiting request does now.
    pub fn turn(&mut self, key: Key, now: Moment) -> Turn {
        let turn = self.decide(key, now);
        if let Some(waiting) = self.waiting.get_mut(&key) {
            waiting.waited |= matches!(turn, Turn::Wait { .. });
        }
        turn
    }

    fn decide(&mut self, key: Key, now: Moment) -> Turn {
        let Some(waiting) = self.waiting.get(&key).filter(|w| !w.displaced) else {
            return Turn::Refuse(Reason::Full);
        };
        let (limit, is_promised) = (waiting.limit(), waiting.promised);
        let (is_over, was_tried) = (now >= limit, waiting.shortage.is_some());
        let is_blocked = self.is_blocked(key, now);
        if is_blocked && !is_over {
            return Turn::Wait { until: limit };
        }
        if waiting.exhausted || (is_blocked && !is_promised) {
            let late = now >= waiting.entry.latest_start;
            let reason = if is_blocked { Reason::Behind } else { Reason::NoRoom };
            return Turn::Refuse(if late { Reason::Late } else { reason });
        }
        if !is_over && waiting.is_resting(now) {
            return Turn::Wait { until: waiting.retry_at.min(limit) };
        }
        if was_tried && now > waiting.entry.latest_start {
            return Turn::Refuse(Reason::Late);
        }
        let reserve = self.reserve(waiting, now);
        let patience = waiting.patience(now);
        if let Some(waiting) = self.waiting.get_mut(&key) {
            waiting.exhausted = is_over && was_tried;
        }
        Turn::Try { patience, reserve }
    }

    /// Records that the servers had no room for a request. `room_in` is the expected time
    /// until they have some. If too much waits before it at all daemons, its next try is the last.
    pub fn declined(&mut self, key: Key, shortage: Shortage, room_in: Duration, now: Moment) {
        let ahead = self.waiting.get(&key).map(|w| self.work_before(&self.place(w)));
        let Some(waiting) = self.waiting.get_mut(&key) else {
            return;
        };
        waiting.shortage = Some(shortage);
        waiting.woken = false;
        waiting.retry_at = now + room_in.max(MIN_RETRY);
        if !waiting.promised && ahead.is_some_and(|ahead| now + ahead > waiting.due) {
            waiting.due = now;
        }
    }

    /// Removes a request that was placed.
    pub fn admitted(&mut self, key: Key, now: Moment) -> Reason {
        let Some(waiting) = self.remove(key) else {
            return Reason::Left;
        };
        if !waiting.promised {
            self.count_served(&waiting.entry, now);
        }
        self.update_shares(now);
        if waiting.waited { Reason::PlacedAfterWait } else { Reason::Placed }
    }

    /// Removes a request whose caller has left or that is refused without a promise.
    pub fn leave(&mut self, key: Key) {
        self.remove(key);
    }

    /// Removes a refused request and holds capacity for its return, if it can still be served then.
    /// `room_in` is when the servers are expected to have room.
    pub fn refuse(&mut self, key: Key, room_in: Duration, now: Moment) -> Option<Refusal> {
        let waiting = self.waiting.get(&key)?;
        let entry = waiting.entry;
        let place = self.place(waiting);
        let before = self.work_before(&place) + self.promised_work(entry.pool, now);
        let longest = entry.deadline.since(now) / RETRY_DIVISOR;
        // Its own work does not count, so that large requests are promised as often as small ones.
        let room_in = room_in.max(before.div_f64(PROMISED_FRACTION));
        let retry_after = room_in.min(longest);
        let due = now + retry_after;
        // A prompt that costs others too much may do so again: a promise holds memory for it, but does
        // not lower the load of the servers.
        let lacked_room = waiting.shortage != Some(Shortage::Cost);
        let can_be_served = lacked_room && room_in <= longest && due < entry.latest_start;
        let promised = can_be_served && !waiting.promised && !place.over_share;
        if promised {
            self.promises.add(Promise {
                identity: entry.identity,
                pool: entry.pool,
                due,
                deadline: entry.deadline,
                work: entry.work,
                footprint: entry.footprint,
            });
            self.count_served(&entry, now);
        }
        self.remove(key);
        // Most callers return once, so that a return into the same shortage would be the last one.
        let retry_after = if promised { retry_after } else { longest };
        Some(Refusal { retry_after, promised })
    }

    /// Lets every waiting request try again, because the servers may have room.
    pub fn wake(&mut self, now: Moment) {
        self.update_shares(now);
        for waiting in self.waiting.values_mut() {
            waiting.woken = true;
        }
    }

    /// Applies the report of another daemon.
    pub fn merge(&mut self, peer: daemon::Id, report: Report, now: Moment) {
        for identity in self.peers.replace(peer, report, now) {
            self.promises.take(identity);
        }
    }

    /// Forgets what is too old. `max_age` is the age from which a report no longer counts.
    pub fn expire(&mut self, now: Moment, max_age: Duration) {
        self.promises.expire(now);
        self.returned.retain(|r| now.since(r.at) <= IDENTITY_RETENTION);
        self.peers.expire(now, max_age);
        self.usages.retain(|_, dated| dated.at(now).asked.max(dated.at(now).served) > MIN_USAGE);
    }

    /// Returns the report for the other daemons.
    pub fn report(&self, now: Moment) -> Report {
        let kept = self.waiting.values().filter(|w| !w.displaced);
        let mut waiting: Vec<Place> = kept.map(|w| self.place(w)).collect();
        waiting.sort_by(Place::compare);
        let others = waiting.split_off(waiting.len().min(MAX_REPORTED_WAITING));
        let mut usages: Vec<Consumption> = self.own_consumptions(now).collect();
        usages.sort_by(|a, b| b.usage.asked.total_cmp(&a.usage.asked));
        usages.truncate(MAX_REPORTED_CONSUMERS);
        let mut slots = self.promises.slots(now);
        slots.truncate(MAX_REPORTED_SLOTS);
        Report {
            waiting,
            other_work: others.iter().map(|p| p.work).sum(),
            slots,
            promised: self.promises.newest(MAX_REPORTED_IDENTITIES),
            returned: self.returned.iter().rev().map(|r| r.identity).collect(),
            usages,
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the size of the bodies of the waiting requests that are kept.
    pub fn bytes(&self) -> Bytes {
        let kept = self.waiting.values().filter(|w| !w.displaced);
        kept.fold(Bytes::ZERO, |sum, w| sum.saturating_add(w.entry.body))
    }

    /// Returns how long a request has waited.
    pub fn wait(&self, key: Key, now: Moment) -> Duration {
        self.waiting.get(&key).map_or(Duration::ZERO, |w| now.since(w.since))
    }

    /// Returns the age of the oldest report of another daemon that counts.
    pub fn report_age(&self, now: Moment) -> Duration {
        self.peers.oldest_age(now)
    }

    /// Returns whether a request was promised to be served.
    pub fn is_promised(&self, key: Key) -> bool {
        self.waiting.get(&key).is_some_and(|w| w.promised)
    }

    fn remove(&mut self, key: Key) -> Option<Waiting> {
        let removed = self.waiting.remove(&key);
        for waiting in self.waiting.values_mut() {
            waiting.woken = true;
        }
        removed
    }

    /// Takes the promise of a returning request; returns `false` if no daemon made one.
    fn redeem(&mut self, identity: Identity, now: Moment) -> bool {
        let known = self.promises.take(identity) || self.peers.has_promised(identity);
        if known {
            self.peers.mark_returned(identity, now);
            self.returned.push_back(Return { identity, at: now });
            if self.returned.len() > MAX_REPORTED_IDENTITIES {
                self.returned.pop_front();
            }
        }
        known
    }

    fn is_overfull(&self) -> bool {
        let kept = self.waiting.values().filter(|w| !w.displaced).count();
        kept > self.limits.entries || self.bytes() > self.limits.bytes
    }

    fn place(&self, waiting: &Waiting) -> Place {
        waiting.place(self.shares.is_exceeded(waiting.entry.consumer, waiting.entry.footprint))
    }

    /// Returns the places of all other waiting requests at all daemons.
    fn others(&self, key: Key) -> impl Iterator<Item = Place> {
        let own = self.waiting.iter().filter(move |(other, w)| **other != key && !w.displaced);
        own.map(|(_, w)| self.place(w)).chain(self.peers.waiting().copied())
    }

    fn is_blocked(&self, key: Key, now: Moment) -> bool {
        let Some(place) = self.waiting.get(&key).map(|w| self.place(w)) else {
            return false;
        };
        self.others(key).any(|other| other.blocks(&place, now))
    }

    /// Returns the work of the requests that come before a place, at all daemons.
    fn work_before(&self, place: &Place) -> Duration {
        let own = self.waiting.values().filter(|w| !w.displaced).map(|w| self.place(w));
        let all = own.chain(self.peers.waiting().copied());
        let before: Duration = all.filter(|p| p.is_before(place)).map(|p| p.work).sum();
        before + self.peers.other_work()
    }

    fn promised_work(&self, pool: Pool, now: Moment) -> Duration {
        self.peers.promised_work(pool) + self.promises.held_work(pool, now)
    }

    /// Returns the memory that must remain when a request is placed, for promises that become due
    /// soon. It does not depend on the size of the request, so that all sizes have the same chance.
    fn reserve(&self, waiting: &Waiting, now: Moment) -> Tokens {
        if waiting.promised {
            return Tokens::ZERO;
        }
        let until = now + RESERVE_LEAD;
        let own = self.promises.held_memory(waiting.entry.pool, until, now);
        own.saturating_add(self.peers.promised_memory(waiting.entry.pool, until))
    }

    /// Counts what a consumer was served or promised.
    fn count_served(&mut self, entry: &Entry, now: Moment) {
        let served = entry.footprint.get() as f64;
        self.count(entry.consumer, Usage { asked: 0.0, served }, now);
    }

    fn count(&mut self, consumer: Consumer, usage: Usage, now: Moment) {
        self.usages.entry(consumer).or_default().add(usage, now);
    }

    fn own_consumptions(&self, now: Moment) -> impl Iterator<Item = Consumption> {
        let usages = self.usages.iter();
        usages
            .map(move |(consumer, dated)| Consumption { consumer: *consumer, usage: dated.at(now) })
    }

    fn update_shares(&mut self, now: Moment) {
        self.shares = match self.waiting.is_empty() {
            true => Shares::default(),
            false => Shares::of(self.own_consumptions(now).chain(self.peers.consumptions())),
        };
    }
}
