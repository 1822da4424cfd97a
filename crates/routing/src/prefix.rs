//! Which runner is believed to have which prefix of prompts cached.
//!
//! A prompt's prefixes of 512, 1,024, 2,048 … tokens are hashed, so that a request carries at most
//! a dozen hashes whatever its length. The index remembers for each hash the runner that last
//! computed it. Belief is late and has gaps: a report of evictions takes entries away, and a gap in
//! the reports of a runner takes away everything that was learnt of it before.

use std::collections::HashMap;

use kumquattiller_base::runner::Id;
use kumquattiller_base::size::Tokens;

/// Tokens of the shortest hashed prefix; each further one is twice as long.
pub const FIRST_TOKENS: Tokens = Tokens::new(512);

/// Hashes kept in each of the two generations.
const GENERATION_SIZE: usize = 32_768;

/// Returns the tokens of the prefix with the given place in the list of hashes.
pub const fn tokens(place: usize) -> Tokens {
    Tokens::new(FIRST_TOKENS.get() << place)
}

/// Picks from the hashes of each 512 tokens of a prompt those of its prefixes that count here.
///
/// Each of the hashes covers all tokens before it too.
pub fn sample(blocks: &[u64]) -> Vec<u64> {
    let places = std::iter::successors(Some(1_usize), |place| place.checked_mul(2));
    places.map_while(|place| blocks.get(place - 1)).copied().collect()
}

/// A runner that computed a prefix.
#[derive(Debug, Clone)]
struct Holder {
    runner: Id,
    /// Gaps in the runner's reports before this was learnt.
    gaps: u32,
}

/// What an entry daemon believes of the prefix caches of a service.
///
/// Memory is bounded: a full generation replaces the one before it.
#[derive(Debug, Clone, Default)]
pub struct Index {
    young: HashMap<u64, Holder>,
    old: HashMap<u64, Holder>,
    gaps: HashMap<Id, u32>,
}

impl Index {
    /// Records that a runner computes a prompt with these hashes.
    pub fn learn(&mut self, runner: &Id, hashes: &[u64]) {
        let gaps = self.gaps.get(runner).copied().unwrap_or_default();
        for &hash in hashes {
            self.young.insert(hash, Holder { runner: runner.clone(), gaps });
        }
        if self.young.len() >= GENERATION_SIZE {
            self.old = std::mem::take(&mut self.young);
        }
    }

    /// Records that a runner evicted prefixes.
    pub fn evicted(&mut self, runner: &Id, hashes: &[u64]) {
        for hash in hashes {
            for generation in [&mut self.young, &mut self.old] {
                if generation.get(hash).is_some_and(|h| h.runner == *runner) {
                    generation.remove(hash);
                }
            }
        }
    }

    /// Records that reports of a runner's cache were lost, or that it restarted.
    pub fn gap(&mut self, runner: &Id) {
        *self.gaps.entry(runner.clone()).or_default() += 1;
    }

    /// Returns the runner believed to hold the longest prefix, and its tokens.
    pub fn holder(&self, hashes: &[u64]) -> Option<(&Id, Tokens)> {
        let found = |(place, hash): (usize, &u64)| Some((self.believed(hash)?, tokens(place)));
        hashes.iter().enumerate().rev().find_map(found)
    }

    fn believed(&self, hash: &u64) -> Option<&Id> {
        let holder = self.young.get(hash).or_else(|| self.old.get(hash))?;
        let gaps = self.gaps.get(&holder.runner).copied().unwrap_or_default();
        (holder.gaps == gaps).then_some(&holder.runner)
    }
}
