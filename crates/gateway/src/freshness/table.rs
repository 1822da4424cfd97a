use std::collections::BTreeMap;
use std::time::Duration;

use kumquattiller_base::time::Moment;

use crate::freshness::Confirmation;
use crate::freshness::Kind;
use crate::freshness::Question;
use crate::freshness::Revision;
use crate::freshness::Role;
use crate::freshness::question;

/// Time for a change that a peer has seen to arrive at this daemon, by its own watch or from the
/// peer.
const ARRIVAL_TIME: Duration = Duration::from_millis(350);
/// Age from which a copy is no longer reported, since it confirms none of the peers.
const MAX_REPORTED_AGE: Duration = Duration::from_secs(10);

/// Who confirmed a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Source {
    /// The store answered this daemon.
    Store,
    /// A peer passed on what it holds.
    Peer,
    /// Nobody: the store does not know the kind, so there are no objects of it. This is not told to
    /// the peers, since it confirms none of their copies.
    Assumed,
}

/// Effect of a peer's report on a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// The report says nothing new.
    None,
    /// The copy is confirmed; before that, it had this age.
    Confirmed(Duration),
    /// The copy has turned out to lack a change.
    Missing,
}

/// A change that a peer has seen and that this daemon's copy lacks.
#[derive(Debug, Clone, Copy)]
struct Missing {
    change: Revision,
    since: Moment,
}

/// What is known of the copy of one kind.
#[derive(Debug, Clone, Copy)]
struct Entry {
    /// Revision up to which the copy is complete.
    revision: Revision,
    last_change: Revision,
    /// When the store or a peer last confirmed the copy.
    confirmed_at: Moment,
    /// When the store last confirmed it to this daemon, if it ever did.
    own_confirmed_at: Option<Moment>,
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
        source: Source,
    ) {
        let first = Entry {
            revision,
            last_change: revision,
            confirmed_at: at,
            own_confirmed_at: None,
            missing: None,
        };
        let copy = self.copies.entry(kind).or_insert(first);
        copy.revision = copy.revision.max(revision);
        copy.last_change = last_change.map_or(copy.last_change, |c| copy.last_change.max(c));
        copy.confirmed_at = copy.confirmed_at.max(at);
        if source == Source::Store {
            copy.own_confirmed_at = copy.own_confirmed_at.max(Some(at));
        }
        let is_missing = |m: &Missing| m.change > revision && m.since > at;
        copy.missing = copy.missing.filter(is_missing);
    }

    /// Applies what a peer reports of its copy. A peer whose copy is of an earlier era of the store
    /// confirms nothing; one whose copy is of a later era has changes that this copy lacks.
    pub fn merge(&mut self, kind: Kind, reported: Confirmation, now: Moment) -> Effect {
        let confirmed_at = now - reported.age;
        let Some(copy) = self.copies.get_mut(&kind).filter(|c| c.confirmed_at < confirmed_at)
        else {
            return Effect::None;
        };
        if reported.last_change > copy.revision {
            let is_new = copy.missing.is_none();
            copy.missing.get_or_insert(Missing { change: reported.last_change, since: now });
            return if is_new { Effect::Missing } else { Effect::None };
        }
        if reported.last_change.era() < copy.revision.era() {
            return Effect::None;
        }
        let age = now.since(copy.confirmed_at);
        copy.last_change = copy.last_change.max(reported.last_change);
        copy.revision = copy.revision.max(reported.revision);
        copy.confirmed_at = confirmed_at;
        Effect::Confirmed(age)
    }

    /// Makes all copies older, after a time in which the process did not run and that its clock has
    /// not counted.
    pub fn add_age(&mut self, time: Duration) {
        for copy in self.copies.values_mut() {
            copy.confirmed_at = copy.confirmed_at - time;
            copy.own_confirmed_at = copy.own_confirmed_at.map(|at| at - time);
        }
    }

    /// Returns the revision up to which a copy is complete, or `None` if there is no copy yet.
    pub fn revision(&self, kind: Kind) -> Option<Revision> {
        self.copies.get(&kind).map(|copy| copy.revision)
    }

    /// Returns the change that a copy lacks, if a peer has reported one.
    pub fn missing(&self, kind: Kind) -> Option<Revision> {
        self.copies.get(&kind)?.missing.map(|missing| missing.change)
    }

    /// Returns the time since the last confirmation, or `None` if the copy was never confirmed.
    pub fn age(&self, kind: Kind, now: Moment) -> Option<Duration> {
        self.copies.get(&kind).map(|copy| now.since(copy.confirmed_at))
    }

    /// Returns what to tell the peers. Only the store's own answers are passed on: what peers tell
    /// one another grows younger by the time that each report takes.
    pub fn confirmations(&self, now: Moment) -> impl Iterator<Item = (Kind, Confirmation)> {
        let describe = move |copy: &Entry| {
            let age = now.since(copy.own_confirmed_at?);
            let Entry { last_change, revision, .. } = *copy;
            (age < MAX_REPORTED_AGE).then_some(Confirmation { last_change, revision, age })
        };
        self.copies.iter().filter_map(move |(kind, copy)| Some((*kind, describe(copy)?)))
    }

    /// Returns when the copy of a kind is overdue at a daemon with `rank` daemons before it.
    pub fn overdue_at(&self, kind: Kind, rank: usize) -> Moment {
        let Some(copy) = self.copies.get(&kind) else {
            return Moment::ZERO;
        };
        let by_age = copy.confirmed_at + question::overdue_age(rank);
        copy.missing.map_or(by_age, |missing| by_age.min(missing.since + ARRIVAL_TIME))
    }

    /// Returns how a daemon with `rank` daemons before it and this role asks the store next.
    pub fn question(&self, kind: Kind, rank: usize, role: Role, now: Moment) -> Question {
        match self.age(kind, now) {
            Some(age) if rank == 0 => Question::of_first(age),
            Some(_) if now < self.overdue_at(kind, rank) => Question::of_other(role),
            _ => Question::AT_ONCE,
        }
    }
}
