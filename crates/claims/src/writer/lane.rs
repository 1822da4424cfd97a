use kumquattiller_base::request::Key;
use kumquattiller_base::time::Moment;

use crate::Attempt;
use crate::Outcome;
use crate::Shard;
use crate::writer::Batch;
use crate::writer::Want;

/// Something to write about a claim that this daemon made.
#[derive(Debug, Clone)]
pub enum Note {
    /// How a request ended.
    Finish(Key, Attempt, Outcome),
    /// The attempt started nothing and never will.
    Release(Key, Attempt),
}

impl Note {
    /// Applies the note to a shard; returns whether anything changed.
    pub fn apply(&self, shard: &mut Shard) -> bool {
        match self {
            Self::Finish(key, attempt, outcome) => shard.finish(key, *attempt, outcome.clone()),
            Self::Release(key, attempt) => shard.release(key, *attempt),
        }
    }
}

/// The call to the store that a lane waits for.
#[derive(Debug, Default)]
pub enum Busy {
    /// None.
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
    /// The key.
    pub key: Key,
    /// The attempt, never granted.
    pub attempt: Attempt,
    /// When no delayed write of it is expected any more.
    pub until: Moment,
}

/// The state of one shard in a writer.
#[derive(Debug, Default)]
pub struct Lane {
    /// The call to the store under way.
    pub busy: Busy,
    /// The last known version and value.
    pub known: Option<(Option<u64>, Shard)>,
    /// Whether `known` was read or written since the last idle moment.
    pub fresh: bool,
    /// Calls that wait for the next write.
    pub wants: Vec<Want>,
    /// Notes that wait for the next write.
    pub notes: Vec<Note>,
    /// Attempts to release when they turn up.
    pub orphans: Vec<Orphan>,
    /// Whether a write of the waiting calls may have taken effect.
    pub uncertain: bool,
    /// When the next write is due.
    pub due: Option<Moment>,
}

impl Lane {
    /// Makes the next write due at `moment` at the latest.
    pub fn due_by(&mut self, moment: Moment) {
        self.due = Some(self.due.map_or(moment, |due| due.min(moment)));
    }

    /// Puts back what a write did not bring into the store.
    pub fn put_back(&mut self, batch: Batch) {
        let mut wants: Vec<Want> = batch.decided.into_iter().map(|(want, _)| want).collect();
        wants.append(&mut self.wants);
        self.wants = wants;
        let mut notes = batch.notes;
        notes.append(&mut self.notes);
        self.notes = notes;
    }

    /// Tells whether nothing waits for a call to the store.
    pub const fn is_settled(&self) -> bool {
        matches!(self.busy, Busy::Idle) && self.wants.is_empty() && self.notes.is_empty()
    }
}
