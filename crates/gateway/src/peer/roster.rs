use std::collections::BTreeMap;
use std::time::Duration;

use kumquattiller_base::daemon;
use kumquattiller_base::rendezvous::Job;
use kumquattiller_base::runner;
use kumquattiller_base::time::Moment;

/// Time for which a daemon counts after it was last known. A daemon that is cut off from the store
/// and its peers goes on using its share, while its registration lapses.
pub const MEMORY: Duration = Duration::from_secs(600);
/// Interval at which the daemons are compared with those that are known.
const INTERVAL: Duration = Duration::from_secs(1);

/// The other daemons that may hold shares: those that are known or were until recently.
#[derive(Debug, Default)]
pub struct Roster {
    members: BTreeMap<daemon::Id, Moment>,
    begun_at: Option<Moment>,
    observed_at: Option<Moment>,
    generation: u64,
}

impl Roster {
    /// Returns whether the daemons are to be observed again.
    pub fn is_due(&self, now: Moment) -> bool {
        self.observed_at.is_none_or(|at| now.since(at) >= INTERVAL)
    }

    /// Records the other daemons that are known now, and forgets those that were last known long
    /// ago.
    pub fn observe<'a>(&mut self, known: impl Iterator<Item = &'a daemon::Id>, now: Moment) {
        let before = self.members.len();
        for id in known {
            match self.members.get_mut(id) {
                Some(at) => *at = now,
                None => _ = self.members.insert(id.clone(), now),
            }
        }
        let grown = self.members.len();
        self.members.retain(|_, at| now.since(*at) <= MEMORY);
        if grown > before || self.members.len() < grown {
            self.generation += 1;
        }
        self.begun_at = self.begun_at.or(Some(now));
        self.observed_at = Some(now);
    }

    /// Returns whether the daemons have been known for `join_delay`, in which they hear of this one.
    pub fn is_settled(&self, join_delay: Duration, now: Moment) -> bool {
        self.known_for(now).is_some_and(|time| time >= join_delay)
    }

    /// Returns for how long the daemons have been known, or `None` if they are not known yet.
    pub fn known_for(&self, now: Moment) -> Option<Duration> {
        self.begun_at.map(|at| now.since(at))
    }

    /// Returns when the daemons will have been known for `join_delay`.
    pub fn settles_at(&self, join_delay: Duration, now: Moment) -> Moment {
        self.begun_at.unwrap_or(now) + join_delay
    }

    /// Returns the number of daemons, including this one.
    pub fn daemons(&self) -> usize {
        self.members.len() + 1
    }

    /// Returns a number that changes with the daemons.
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns whether `own` is one of `sharers` daemons that may send to a cold server. The choice
    /// does not depend on the incarnation of the server, which some daemons may not know yet.
    pub fn is_sharer(&self, own: &daemon::Id, server: &runner::Id, sharers: usize) -> bool {
        let members = self.members.keys().map(daemon::Id::as_str);
        Job::named(server.as_str()).is_chosen(own.as_str(), sharers, members)
    }
}
