use crate::Attempt;
use crate::Record;
use crate::Shard;
use crate::Timestamp;
use crate::shard::Verdict;
use crate::writer::ClaimRequest;
use crate::writer::shard_state::Orphan;
use crate::writer::shard_state::Update;

/// Claims and updates merged into one new value of a shard.
#[derive(Debug)]
pub struct Batch {
    /// The new value.
    pub shard: Shard,
    /// Whether the new value differs from the old one.
    pub changed: bool,
    /// The calls, each with the verdict of the new value on its claim.
    pub verdicts: Vec<(ClaimRequest, Verdict)>,
    /// Updates applied to the new value.
    pub updates: Vec<Update>,
    /// Attempts of refused calls whose records the new value no longer has.
    pub released: Vec<Attempt>,
}

impl Batch {
    /// Removes the records of orphans, then applies updates, then adds claims, all on a copy of
    /// `shard`.
    pub fn build(
        shard: &Shard,
        requests: Vec<ClaimRequest>,
        updates: Vec<Update>,
        orphans: &[Orphan],
        now: Timestamp,
        record_of: impl Fn(&ClaimRequest) -> Record,
    ) -> Self {
        let mut shard = shard.clone();
        let mut released = Vec::new();
        for orphan in orphans {
            if shard.remove_claim(&orphan.key, orphan.attempt) {
                released.push(orphan.attempt);
            }
        }
        let mut changed = !released.is_empty();
        for update in &updates {
            changed |= update.apply(&mut shard);
        }
        let mut verdicts = Vec::with_capacity(requests.len());
        if !requests.is_empty() {
            changed |= shard.remove_expired(now);
        }
        for request in requests {
            let verdict = shard.claim(&request.key, &record_of(&request), now);
            changed |= verdict == Verdict::Added;
            verdicts.push((request, verdict));
        }
        Self { shard, changed, verdicts, updates, released }
    }

    /// Returns whether a later state of the shard may give a call another verdict.
    pub fn is_provisional(&self) -> bool {
        self.verdicts.iter().any(|(_, verdict)| verdict.is_provisional())
    }
}
