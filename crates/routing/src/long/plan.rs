use std::cmp::Reverse;
use std::collections::BTreeMap;

use kumquattiller_base::place::Zone;
use kumquattiller_base::runner::Id;
use kumquattiller_base::size::Tokens;
use strum::IntoEnumIterator;

use crate::table::Runner;
use crate::table::Table;

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

/// How much of each engine parts may take; earlier ones are preferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, strum::EnumIter)]
enum Fill {
    /// What is free now on engines set aside for long prompts.
    FreeAside,
    /// All of these engines.
    AllAside,
    /// All of any engine.
    All,
}

/// Picks a set of engines for `footprint`, in the order in which to reserve them.
///
/// Takes what is free on engines set aside for long prompts, see [`crate::interval`], if that is
/// enough; else fills these engines first and others with the rest.
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
    for runners in zones.values_mut() {
        runners.sort_by_key(|r| (r.rank >= long_engines, Reverse(r.free()), r.hash));
    }
    for fill in Fill::iter() {
        let room = |r: &Runner| room(r, fill, long_engines);
        let sets = zones.values().filter_map(|runners| take(runners, footprint, room));
        if let Some(set) = sets.min_by_key(|set| (outside(set, long_engines), wait(set))) {
            return Ok(parts(&set));
        }
    }
    let total = |runners: &Vec<&Runner>| {
        runners.iter().fold(Tokens::ZERO, |sum, r| sum.saturating_add(usable(r)))
    };
    Err(TooLarge { limit: zones.values().map(total).max().unwrap_or_default() })
}

/// Returns the memory of an idle engine that prompts over 8,000 tokens may take.
pub fn usable(runner: &Runner) -> Tokens {
    let capacity = runner.load.capacity;
    capacity.saturating_sub(Tokens::new(capacity.get() / SHORT_RESERVE_SHARE))
}

/// Returns the memory that a part may take on an engine.
fn room(runner: &Runner, fill: Fill, long_engines: usize) -> Tokens {
    let usable = usable(runner);
    let is_aside = runner.rank < long_engines;
    match fill {
        Fill::FreeAside if is_aside => {
            let reserve = runner.load.capacity.saturating_sub(usable);
            runner.free().saturating_sub(reserve)
        }
        Fill::AllAside if is_aside => usable,
        Fill::FreeAside | Fill::AllAside => Tokens::ZERO,
        Fill::All => usable,
    }
}

/// Fills one engine after the other until the footprint is placed, or returns `None`.
fn take<'a>(
    runners: &[&'a Runner],
    footprint: Tokens,
    room: impl Fn(&Runner) -> Tokens,
) -> Option<Vec<(&'a Runner, Tokens)>> {
    let mut left = footprint;
    let mut set = Vec::new();
    for &runner in runners {
        let room = room(runner);
        if left == Tokens::ZERO || room < MIN_PART {
            continue;
        }
        let tokens = room.min(left);
        left = left.saturating_sub(tokens);
        set.push((runner, tokens.max(MIN_PART)));
    }
    (left == Tokens::ZERO).then_some(set)
}

/// Returns the tokens placed on engines that are not set aside for long prompts.
fn outside(set: &[(&Runner, Tokens)], long_engines: usize) -> Tokens {
    let outside = set.iter().filter(|(r, _)| r.rank >= long_engines);
    outside.fold(Tokens::ZERO, |sum, (_, tokens)| sum.saturating_add(*tokens))
}

/// Returns the memory that has to become free first.
fn wait(set: &[(&Runner, Tokens)]) -> Tokens {
    let lacking = set.iter().map(|(r, tokens)| tokens.saturating_sub(r.free()));
    lacking.fold(Tokens::ZERO, Tokens::saturating_add)
}

/// Orders the parts by the ids of their runners.
fn parts(set: &[(&Runner, Tokens)]) -> Vec<Part> {
    let part = |(r, tokens): &(&Runner, Tokens)| Part { runner: r.id.clone(), tokens: *tokens };
    let mut parts: Vec<Part> = set.iter().map(part).collect();
    parts.sort_by(|a, b| a.runner.cmp(&b.runner));
    parts
}
