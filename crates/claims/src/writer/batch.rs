use crate::Attempt;
use crate::Record;
use crate::Shard;
use crate::Timestamp;
use crate::shard::Verdict;
use crate::writer::Want;
use crate::writer::lane::Note;
use crate::writer::lane::Orphan;

/// Claims and notes folded into one new value of a shard.
#[derive(Debug)]
pub struct Batch {
    /// The new value.
    pub shard: Shard,
    /// Whether the new value differs from the old one.
    pub changed: bool,
    /// Each call with what the new value says to it.
    pub decided: Vec<(Want, Verdict)>,
    /// Notes that the new value contains.
    pub notes: Vec<Note>,
    /// Refused attempts whose record the new value drops.
    pub released: Vec<Attempt>,
}

impl Batch {
    /// Folds notes, calls and the release of orphans into a copy of `shard`.
    pub fn fold(
        shard: &Shard,
        wants: Vec<Want>,
        notes: Vec<Note>,
        orphans: &[Orphan],
        now: Timestamp,
        record_of: impl Fn(&Want) -> Record,
    ) -> Self {
        let mut shard = shard.clone();
        let mut released = Vec::new();
        for orphan in orphans {
            if shard.release(&orphan.key, orphan.attempt) {
                released.push(orphan.attempt);
            }
        }
        let mut changed = !released.is_empty();
        for note in &notes {
            changed |= note.apply(&mut shard);
        }
        let mut decided = Vec::with_capacity(wants.len());
        if !wants.is_empty() {
            changed |= shard.expire(now);
        }
        for want in wants {
            let verdict = shard.claim(&want.key, &record_of(&want), now);
            changed |= verdict == Verdict::Added;
            decided.push((want, verdict));
        }
        Self { shard, changed, decided, notes, released }
    }

    /// Tells whether a later state of the shard may decide a call differently.
    pub fn is_provisional(&self) -> bool {
        self.decided.iter().any(|(_, verdict)| verdict.is_provisional())
    }
}
