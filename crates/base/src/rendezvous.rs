//! Rendezvous hashing: members agree on who does a job by hashing, without an election.
//!
//! Members with the same list choose the same ones. Adding or removing a member moves only its own
//! jobs. Members with different lists may choose more or fewer for a while.

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Identifies what members are chosen for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Job(u64);

impl Job {
    /// Creates a job from its number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Creates a job from its name.
    pub fn named(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }

    /// Returns the weight of a member for the job. Those with the highest weights are chosen.
    pub fn weight(self, member: &str) -> u64 {
        xxh3_64_with_seed(member.as_bytes(), self.0)
    }

    /// Returns whether `own` is one of the `count` members chosen for the job. `own` counts as a
    /// member whether or not `members` contains it.
    pub fn is_chosen<'a>(
        self,
        own: &str,
        count: usize,
        members: impl IntoIterator<Item = &'a str>,
    ) -> bool {
        let own_weight = self.weight(own);
        let higher = members.into_iter().filter(|m| *m != own && self.weight(m) > own_weight);
        higher.take(count).count() < count
    }
}
