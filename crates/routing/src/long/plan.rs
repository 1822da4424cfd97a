use std::cmp::Reverse;
use std::collections::BTreeMap;

use kumquattiller_base::place::Zone;
use kumquattiller_base::runner::Id;
use kumquattiller_base::size::Tokens;
use strum::IntoEnumIterator;

use crate::table::Runner;
use crate::table::Table;

/// Divisor of an engine's KV memory that gives the part kept free for short prompts.
const SHORT_RESERVE_DIVISOR: u64 = 12;

/// Smallest part. Any part may become the last one, which must also hold the response.
const MIN_PART_TOKENS: Tokens = Tokens::new(16_384);

/// Memory for a part of a prompt on one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// The runner.
    pub runner: Id,
    /// KV memory to reserve.
    pub tokens: Tokens,
}

/// Error returned when no availability zone has enough memory for a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooLarge {
    /// The largest footprint that fits into one zone.
    pub limit: Tokens,
}

impl std::fmt::Display for TooLarge {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "no availability zone holds more than {} of prompt and response", self.limit)
    }
}

impl std::error::Error for TooLarge {}

/// Which memory the parts may use; earlier variants are preferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, strum::EnumIter)]
enum Fill {
    /// Currently free memory of engines dedicated to long prompts.
    FreeOnDedicated,
    /// All usable memory of engines dedicated to long prompts.
    AllOnDedicated,
    /// All usable memory of any engine.
    All,
}

/// Selects engines of one zone for `footprint`, in the order in which to reserve them.
///
/// Uses only free memory of the engines dedicated to long prompts (see [`crate::interval`]) if that
/// is enough. Otherwise it fills these engines first and places the rest on other engines. Runners
/// in `lost` are left out.
///
/// # Errors
///
/// Fails when the footprint does not fit into the open runners of any zone, even if they were idle.
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
        let available = |r: &Runner| available(r, fill, long_engines);
        let sets = zones.values().filter_map(|runners| allocate(runners, footprint, available));
        if let Some(set) =
            sets.min_by_key(|set| (on_other_engines(set, long_engines), missing_memory(set)))
        {
            return Ok(parts(&set));
        }
    }
    let total = |runners: &Vec<&Runner>| {
        runners.iter().fold(Tokens::ZERO, |sum, r| sum.saturating_add(usable_memory(r)))
    };
    Err(TooLarge { limit: zones.values().map(total).max().unwrap_or_default() })
}

/// Returns the memory of an idle engine that prompts over 8,000 tokens may use.
pub fn usable_memory(runner: &Runner) -> Tokens {
    let capacity = runner.load.capacity;
    capacity.saturating_sub(Tokens::new(capacity.get() / SHORT_RESERVE_DIVISOR))
}

/// Returns the memory that a part may use on an engine.
fn available(runner: &Runner, fill: Fill, long_engines: usize) -> Tokens {
    let usable = usable_memory(runner);
    let is_dedicated = runner.rank < long_engines;
    match fill {
        Fill::FreeOnDedicated if is_dedicated => {
            let reserve = runner.load.capacity.saturating_sub(usable);
            runner.free().saturating_sub(reserve)
        }
        Fill::AllOnDedicated if is_dedicated => usable,
        Fill::FreeOnDedicated | Fill::AllOnDedicated => Tokens::ZERO,
        Fill::All => usable,
    }
}

/// Allocates memory on one engine after another, or returns `None` if the footprint does not fit.
fn allocate<'a>(
    runners: &[&'a Runner],
    footprint: Tokens,
    available: impl Fn(&Runner) -> Tokens,
) -> Option<Vec<(&'a Runner, Tokens)>> {
    let mut left = footprint;
    let mut set = Vec::new();
    for &runner in runners {
        let available = available(runner);
        if left == Tokens::ZERO || available < MIN_PART_TOKENS {
            continue;
        }
        let tokens = available.min(left);
        left = left.saturating_sub(tokens);
        set.push((runner, tokens.max(MIN_PART_TOKENS)));
    }
    (left == Tokens::ZERO).then_some(set)
}

/// Returns the memory allocated on engines that are not dedicated to long prompts.
fn on_other_engines(set: &[(&Runner, Tokens)], long_engines: usize) -> Tokens {
    let others = set.iter().filter(|(r, _)| r.rank >= long_engines);
    others.fold(Tokens::ZERO, |sum, (_, tokens)| sum.saturating_add(*tokens))
}

/// Returns the memory that other requests have to release first.
fn missing_memory(set: &[(&Runner, Tokens)]) -> Tokens {
    let missing = set.iter().map(|(r, tokens)| tokens.saturating_sub(r.free()));
    missing.fold(Tokens::ZERO, Tokens::saturating_add)
}

/// Returns the parts ordered by the ids of their runners.
fn parts(set: &[(&Runner, Tokens)]) -> Vec<Part> {
    let part = |(r, tokens): &(&Runner, Tokens)| Part { runner: r.id.clone(), tokens: *tokens };
    let mut parts: Vec<Part> = set.iter().map(part).collect();
    parts.sort_by(|a, b| a.runner.cmp(&b.runner));
    parts
}
