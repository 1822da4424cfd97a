use std::cmp::Reverse;
use std::collections::BTreeMap;

use kumquattiller_base::place::Zone;
use kumquattiller_base::runner::Id;
use kumquattiller_base::size::Tokens;

use crate::table::Runner;
use crate::table::Table;

/// Share of an engine's memory that one part takes while the zone has enough engines, as a divisor.
const PART_SHARE: u64 = 1;

/// Share of an engine's memory that is kept for short prompts, as a divisor.
const SHORT_RESERVE_SHARE: u64 = 12;

/// Smallest part, so that whichever engine comes last has room for the answer.
const MIN_PART: Tokens = Tokens::new(16_384);

/// A part of a prompt and the engine that it is meant for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// The runner.
    pub runner: Id,
    /// KV memory to reserve.
    pub tokens: Tokens,
}

/// No availability zone has the engines to hold a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooLarge {
    /// The largest footprint that some zone holds.
    pub limit: Tokens,
}

impl std::fmt::Display for TooLarge {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "no availability zone holds more than {} of prompt and answer", self.limit)
    }
}

impl std::error::Error for TooLarge {}

/// Picks a set of engines for `footprint`, in the order in which to reserve them.
///
/// Takes engines that are set aside for long prompts first; see [`crate::interval`]. Takes the
/// zone whose engines have the most free memory for it.
///
/// # Errors
///
/// Fails when no zone with open runners could hold the footprint even when idle.
pub fn plan(
    table: &Table,
    footprint: Tokens,
    lost: &[Id],
    long_engines: usize,
) -> Result<Vec<Part>, TooLarge> {
    let mut zones: BTreeMap<&Zone, Vec<&Runner>> = BTreeMap::new();
    let open = table.runners().iter().filter(|r| r.is_open() && !lost.contains(&r.id));
    for runner in open {
        zones.entry(&runner.zone).or_default().push(runner);
    }
    let limit = zones.values().map(|runners| room(runners)).max().unwrap_or_default();
    let sets = zones.into_values().filter(|runners| room(runners) >= footprint);
    let best = sets
        .map(|runners| choose(runners, footprint, long_engines))
        .max_by_key(|set| (Reverse(outside(set, long_engines)), spare(set)));
    let set = best.ok_or(TooLarge { limit })?;
    Ok(parts(&set, footprint))
}

/// Returns the memory that the idle engines of a zone could reserve.
fn room(runners: &[&Runner]) -> Tokens {
    runners.iter().fold(Tokens::ZERO, |sum, r| sum.saturating_add(usable(r)))
}

fn usable(runner: &Runner) -> Tokens {
    let capacity = runner.load.capacity;
    capacity.saturating_sub(Tokens::new(capacity.get() / SHORT_RESERVE_SHARE))
}

/// Takes the engines with the most free memory until half of each holds the footprint, or all of
/// each when the zone is too small for that.
fn choose(mut runners: Vec<&Runner>, footprint: Tokens, long_engines: usize) -> Vec<&Runner> {
    runners.sort_by_key(|r| (r.rank >= long_engines, Reverse(r.free()), r.hash));
    let largest = runners.iter().map(|r| usable(r).get()).max().unwrap_or(1);
    let wanted = footprint.get().div_ceil((largest / PART_SHARE).max(1)) as usize;
    let enough = (1..=runners.len()).find(|&n| room(&runners[..n]) >= footprint);
    let count = wanted.max(enough.unwrap_or(runners.len())).min(runners.len());
    runners.truncate(count);
    runners
}

/// Returns the number of engines that are not set aside for long prompts.
fn outside(set: &[&Runner], long_engines: usize) -> usize {
    set.iter().filter(|r| r.rank >= long_engines).count()
}

/// Returns the least free memory among the engines of a set.
fn spare(set: &[&Runner]) -> Tokens {
    set.iter().map(|r| r.free()).min().unwrap_or_default()
}

/// Divides the footprint, filling one engine after the other, and orders the parts by id.
fn parts(set: &[&Runner], footprint: Tokens) -> Vec<Part> {
    let mut left = footprint;
    let mut parts = Vec::with_capacity(set.len());
    for runner in set {
        let tokens = usable(runner).min(left);
        left = left.saturating_sub(tokens);
        parts.push(Part { runner: runner.id.clone(), tokens: tokens.max(MIN_PART) });
    }
    parts.sort_by(|a, b| a.runner.cmp(&b.runner));
    parts
}
