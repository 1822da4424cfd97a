use kumquattiller_base::request::Key;
use kumquattiller_base::time::Moment;

use crate::Attempt;
use crate::Outcome;
use crate::Shard;
use crate::writer::Batch;
use crate::writer::ClaimRequest;

/// A change to the record of a claim that this daemon made.
#[derive(Debug, Clone)]
pub enum Update {
    /// Records how the request ended.
    Finish(Key, Attempt, Outcome),
    /// Removes the record of an attempt that did not start its request and never will.
    Release(Key, Attempt),
}

impl Update {
    /// Applies the update to a shard; returns whether anything changed.
    pub fn apply(&self, shard: &mut Shard) -> bool {
        match self {
            Self::Finish(key, attempt, outcome) => {
                shard.record_outcome(key, *attempt, outcome.clone())
            }
            Self::Release(key, attempt) => shard.remove_claim(key, *attempt),
        }
    }
}

/// The store operation in flight for a shard.
#[derive(Debug, Default)]
pub enum Operation {
    /// No operation.
    #[default]
    Idle,
    /// A read.
    Reading,
    /// A write of this batch.
    Writing(Batch),
}

/// An attempt whose write may still take effect although its call was refused.
#[derive(Debug, Clone)]
pub struct Orphan {
    /// The key that the attempt wanted to claim.
    pub key: Key,
    /// The attempt, never granted.
    pub attempt: Attempt,
    /// The end of the time in which a delayed write of the attempt may take effect.
    pub until: Moment,
}

/// What a writer keeps about one shard.
#[derive(Debug, Default)]
pub struct ShardState {
    /// The store operation in flight.
    pub operation: Operation,
    /// The last version and value read or written; the version is `None` for no object.
    pub cached: Option<(Option<u64>, Shard)>,
    /// Whether `cached` comes from a read since the last completed write or reply.
    ///
    /// Provisional verdicts are only replied from a fresh value.
    pub fresh: bool,
    /// Calls that wait for the next write.
    pub requests: Vec<ClaimRequest>,
    /// Updates that wait for the next write.
    pub updates: Vec<Update>,
    /// Attempts whose records are removed if they appear in the store.
    pub orphans: Vec<Orphan>,
    /// Whether a write with claims of the waiting calls may have taken effect.
    pub may_be_written: bool,
    /// When the next store operation is due.
    pub due: Option<Moment>,
    /// The earliest time at which new calls and updates make a store operation due.
    pub earliest_write: Moment,
}

impl ShardState {
    /// Makes the next store operation due at `moment`, or at `earliest_write` if that is later.
    ///
    /// An operation that is already due earlier stays so.
    pub fn schedule(&mut self, moment: Moment) {
        let moment = moment.max(self.earliest_write);
        self.due = Some(self.due.map_or(moment, |due| due.min(moment)));
    }

    /// Puts the calls and updates of a batch that was not written before the waiting ones.
    pub fn requeue(&mut self, batch: Batch) {
        let mut requests: Vec<ClaimRequest> =
            batch.verdicts.into_iter().map(|(request, _)| request).collect();
        requests.append(&mut self.requests);
        self.requests = requests;
        let mut updates = batch.updates;
        updates.append(&mut self.updates);
        self.updates = updates;
    }

    /// Returns whether no store operation is in flight and no call or update waits for one.
    pub const fn is_idle(&self) -> bool {
        matches!(self.operation, Operation::Idle)
            && self.requests.is_empty()
            && self.updates.is_empty()
    }
}
