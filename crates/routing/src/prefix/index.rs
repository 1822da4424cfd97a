use std::collections::HashMap;

use kumquattiller_base::runner::Id;
use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;

use crate::prefix::Holder;
use crate::prefix::tokens;

/// Number of hashes at which a generation is full.
const GENERATION_SIZE: usize = 32_768;
/// Maximum number of runners stored for a hash.
const MAX_HOLDERS: usize = 8;

/// An entry daemon's view of the prefix caches of a service.
///
/// Memory is bounded: when the current generation is full, it replaces the previous one.
#[derive(Debug, Clone, Default)]
pub struct Index {
    current: HashMap<u64, Vec<Holder>>,
    previous: HashMap<u64, Vec<Holder>>,
    gaps: HashMap<Id, u32>,
}

impl Index {
    /// Records that a runner computes a prompt whose prefixes have these hashes.
    pub fn record(&mut self, runner: &Id, hashes: &[u64], now: Moment) {
        let gaps = self.gaps.get(runner).copied().unwrap_or_default();
        for &hash in hashes {
            let holder = Holder { runner: runner.clone(), used_at: now, gaps };
            let holders = match self.current.entry(hash) {
                std::collections::hash_map::Entry::Occupied(entry) => entry.into_mut(),
                std::collections::hash_map::Entry::Vacant(entry) => {
                    entry.insert(self.previous.get(&hash).cloned().unwrap_or_default())
                }
            };
            insert(holders, holder);
        }
        if self.current.len() >= GENERATION_SIZE {
            self.previous = std::mem::take(&mut self.current);
        }
    }

    /// Records that a runner evicted the prefixes with these hashes.
    pub fn record_eviction(&mut self, runner: &Id, hashes: &[u64]) {
        for hash in hashes {
            for generation in [&mut self.current, &mut self.previous] {
                if let Some(holders) = generation.get_mut(hash) {
                    holders.retain(|holder| holder.runner != *runner);
                }
            }
        }
    }

    /// Records that cache reports of a runner were lost or that it restarted, which invalidates its
    /// entries.
    pub fn record_gap(&mut self, runner: &Id) {
        *self.gaps.entry(runner.clone()).or_default() += 1;
    }

    /// Returns the runner that probably holds the longest cached prefix, and that prefix's length. Of
    /// several runners this is the one that used it last.
    pub fn holder(&self, hashes: &[u64]) -> Option<(&Id, Tokens)> {
        let lookup = |(index, hash): (usize, &u64)| {
            let holder = self.holders(*hash).max_by_key(|holder| holder.used_at)?;
            Some((&holder.runner, tokens(index)))
        };
        hashes.iter().enumerate().rev().find_map(lookup)
    }

    /// Returns the runners that probably hold the prefix with this hash: those whose entries no later
    /// gap has invalidated.
    pub fn holders(&self, hash: u64) -> impl Iterator<Item = &Holder> {
        let stored = self.current.get(&hash).or_else(|| self.previous.get(&hash));
        stored.into_iter().flatten().filter(|holder| {
            let gaps = self.gaps.get(&holder.runner).copied().unwrap_or_default();
            holder.gaps == gaps
        })
    }

    /// Removes the gap counters of runners that are no longer `known`, with their entries.
    pub fn retain(&mut self, known: impl Fn(&Id) -> bool) {
        for generation in [&mut self.current, &mut self.previous] {
            generation.values_mut().for_each(|holders| holders.retain(|h| known(&h.runner)));
            generation.retain(|_, holders| !holders.is_empty());
        }
        self.gaps.retain(|runner, _| known(runner));
    }
}

/// Adds a holder or replaces its entry. If there are too many, the one that used the prefix first is
/// dropped.
fn insert(holders: &mut Vec<Holder>, holder: Holder) {
    holders.retain(|other| other.runner != holder.runner);
    if holders.len() >= MAX_HOLDERS {
        let oldest = holders.iter().enumerate().min_by_key(|(_, holder)| holder.used_at);
        if let Some((position, _)) = oldest {
            holders.swap_remove(position);
        }
    }
    holders.push(holder);
}
