//! Index of the runners that probably have a prompt prefix cached.
//!
//! A prompt's prefixes of 512, 1,024, 2,048 … tokens are hashed, so that a request carries at most
//! a dozen hashes whatever its length. The index stores for each hash the runner that last computed
//! it. It may be stale: an eviction report removes single entries, and a gap in the reports of a
//! runner invalidates every entry recorded for that runner before the gap.

use std::collections::HashMap;

use kumquattiller_base::runner::Id;
use kumquattiller_base::size::Tokens;

/// Length of the shortest hashed prefix; each further one is twice as long.
pub const FIRST_TOKENS: Tokens = Tokens::new(512);

/// Number of hashes at which a generation is full.
const GENERATION_SIZE: usize = 32_768;

/// Returns the length of the prefix whose hash has the given index in the list of hashes.
pub const fn tokens(index: usize) -> Tokens {
    Tokens::new(FIRST_TOKENS.get() << index)
}

/// Selects the hashes of the prefixes of 512, 1,024, 2,048 … tokens.
///
/// `blocks` has one hash for each 512 tokens of a prompt, and each hash also covers all tokens
/// before its block.
pub fn sample(blocks: &[u64]) -> Vec<u64> {
    let counts = std::iter::successors(Some(1_usize), |count| count.checked_mul(2));
    counts.map_while(|count| blocks.get(count - 1)).copied().collect()
}

/// A runner that computed a prefix.
#[derive(Debug, Clone)]
struct Holder {
    runner: Id,
    /// Number of gaps in the runner's reports when the entry was recorded.
    gaps: u32,
}

/// An entry daemon's view of the prefix caches of a service.
///
/// Memory is bounded: when the current generation is full, it replaces the previous one.
#[derive(Debug, Clone, Default)]
pub struct Index {
    current: HashMap<u64, Holder>,
    previous: HashMap<u64, Holder>,
    gaps: HashMap<Id, u32>,
}

impl Index {
    /// Records that a runner computes a prompt whose prefixes have these hashes.
    pub fn record(&mut self, runner: &Id, hashes: &[u64]) {
        let gaps = self.gaps.get(runner).copied().unwrap_or_default();
        for &hash in hashes {
            self.current.insert(hash, Holder { runner: runner.clone(), gaps });
        }
        if self.current.len() >= GENERATION_SIZE {
            self.previous = std::mem::take(&mut self.current);
        }
    }

    /// Records that a runner evicted the prefixes with these hashes.
    pub fn record_eviction(&mut self, runner: &Id, hashes: &[u64]) {
        for hash in hashes {
            for generation in [&mut self.current, &mut self.previous] {
                if generation.get(hash).is_some_and(|h| h.runner == *runner) {
                    generation.remove(hash);
                }
            }
        }
    }

    /// Records that cache reports of a runner were lost or that it restarted, which invalidates its
    /// entries.
    pub fn record_gap(&mut self, runner: &Id) {
        *self.gaps.entry(runner.clone()).or_default() += 1;
    }

    /// Returns the runner that probably holds the longest cached prefix, and that prefix's length.
    pub fn holder(&self, hashes: &[u64]) -> Option<(&Id, Tokens)> {
        let lookup = |(index, hash): (usize, &u64)| Some((self.valid_holder(hash)?, tokens(index)));
        hashes.iter().enumerate().rev().find_map(lookup)
    }

    /// Returns the holder of a prefix unless a later gap invalidated the entry.
    fn valid_holder(&self, hash: &u64) -> Option<&Id> {
        let holder = self.current.get(hash).or_else(|| self.previous.get(hash))?;
        let gaps = self.gaps.get(&holder.runner).copied().unwrap_or_default();
        (holder.gaps == gaps).then_some(&holder.runner)
    }
}
