use std::collections::BTreeMap;
use std::time::Duration;

use kumquattiller_base::time::Moment;

use crate::freshness::Confirmation;
use crate::freshness::Kind;
use crate::freshness::Question;
use crate::freshness::Revision;
use crate::freshness::question;

/// Time for a change that a peer has seen to arrive at this daemon's own watch.
const OWN_WATCH_TIME: Duration = Duration::from_millis(350);

/// A change that a peer has seen and that this daemon's copy lacks.
#[derive(Debug, Clone, Copy)]
struct Missing {
    change: Revision,
    since: Moment,
}

/// What is known of the copy of one kind.
#[derive(Debug, Clone, Copy)]
struct Entry {
    /// Revision of the last answer of the store.
    revision: Revision,
    last_change: Revision,
    /// When the store or a peer last confirmed the copy.
    confirmed_at: Moment,
    /// When the store last confirmed it to this daemon.
    own_confirmed_at: Moment,
    missing: Option<Missing>,
}

/// The age of each copy of the store.
#[derive(Debug, Default)]
pub struct Table {
    copies: BTreeMap<Kind, Entry>,
}

impl Table {
    /// Records that the copy of a kind contains all changes up to `revision` and was complete at
    /// `at`. `last_change` is the last change in the answer, if it had any.
    pub fn confirm(
        &mut self,
        kind: Kind,
        revision: Revision,
        last_change: Option<Revision>,
        at: Moment,
    ) {
        let first = Entry {
            revision,
            last_change: revision,
            confirmed_at: at,
            own_confirmed_at: at,
            missing: None,
        };
        let copy = self.copies.entry(kind).or_insert(first);
        copy.revision = revision;
        copy.last_change = last_change.unwrap_or(copy.last_change);
        copy.confirmed_at = copy.confirmed_at.max(at);
        copy.own_confirmed_at = copy.own_confirmed_at.max(at);
        let is_missing = |m: &Missing| m.change > revision && m.since > at;
        copy.missing = copy.missing.filter(is_missing);
    }

    /// Applies what a peer reports of its copy. Returns whether this daemon's copy has turned out
    /// to lack a change.
    pub fn merge(&mut self, kind: Kind, reported: Confirmation, now: Moment) -> bool {
        let confirmed_at = now - reported.age;
        let Some(copy) = self.copies.get_mut(&kind).filter(|c| c.confirmed_at < confirmed_at)
        else {
            return false;
        };
        if reported.last_change <= copy.revision {
            copy.last_change = copy.last_change.max(reported.last_change);
            copy.confirmed_at = confirmed_at;
            return false;
        }
        let is_new = copy.missing.is_none();
        copy.missing.get_or_insert(Missing { change: reported.last_change, since: now });
        is_new
    }

    /// Returns the time since the last confirmation, or `None` if the copy was never confirmed.
    pub fn age(&self, kind: Kind, now: Moment) -> Option<Duration> {
        self.copies.get(&kind).map(|copy| now.since(copy.confirmed_at))
    }

    /// Returns what to tell the peers. Only the store's own answers are passed on: what peers tell
    /// one another grows younger by the time that each report takes.
    pub fn confirmations(&self, now: Moment) -> impl Iterator<Item = (Kind, Confirmation)> {
        let describe = move |copy: &Entry| Confirmation {
            last_change: copy.last_change,
            age: now.since(copy.own_confirmed_at),
        };
        self.copies.iter().map(move |(kind, copy)| (*kind, describe(copy)))
    }

    /// Returns when the copy of a kind is overdue at a daemon with `rank` daemons before it.
    pub fn overdue_at(&self, kind: Kind, rank: usize) -> Moment {
        let Some(copy) = self.copies.get(&kind) else {
            return Moment::ZERO;
        };
        let by_age = copy.confirmed_at + question::overdue_age(rank);
        copy.missing.map_or(by_age, |missing| by_age.min(missing.since + OWN_WATCH_TIME))
    }

    /// Returns how a daemon with `rank` daemons before it asks the store next.
    pub fn question(&self, kind: Kind, rank: usize, now: Moment) -> Question {
        match self.age(kind, now) {
            Some(age) if rank == 0 => Question::of_first(age),
            Some(_) if now < self.overdue_at(kind, rank) => Question::of_other(),
            _ => Question::AT_ONCE,
        }
    }
}
