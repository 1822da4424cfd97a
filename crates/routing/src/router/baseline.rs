//! Baseline policies that the cost-based ones are compared with.

use rand::Rng;
use rand::RngExt;

use crate::choice::Choice;
use crate::choice::Reason;
use crate::request::Request;
use crate::router::is_candidate;
use crate::table::Table;

/// Maximum number of random draws for one candidate. With few open runners they may all miss.
const MAX_DRAWS: usize = 16;

/// Picks the first candidate from slot `next_slot` on, and returns the slot after it.
pub(super) fn round_robin(
    table: &Table,
    request: &Request<'_>,
    next_slot: usize,
) -> Option<(Choice, usize)> {
    let count = table.len();
    let slot = (0..count)
        .map(|step| (next_slot + step) % count)
        .find(|&slot| is_candidate(&table.runners()[slot], request))?;
    Some((choice(table, slot, Reason::Turn), (slot + 1) % count))
}

/// Picks the candidate with the fewest outstanding requests. Ties go to the first one from a random
/// slot on.
pub(super) fn least_outstanding<R: Rng>(
    table: &Table,
    request: &Request<'_>,
    rng: &mut R,
) -> Option<Choice> {
    let count = table.len();
    if count == 0 {
        return None;
    }
    let start = rng.random_range(0..count);
    let slot = (0..count)
        .map(|step| (start + step) % count)
        .filter(|&slot| is_candidate(&table.runners()[slot], request))
        .min_by_key(|&slot| table.runners()[slot].outstanding)?;
    let outstanding = table.runners()[slot].outstanding;
    Some(choice(table, slot, Reason::FewestOutstanding { outstanding }))
}

/// Picks the less loaded of two candidates drawn at random.
pub(super) fn two_choices<R: Rng>(
    table: &Table,
    request: &Request<'_>,
    rng: &mut R,
) -> Option<Choice> {
    let Some(first) = draw_candidate(table, request, rng) else {
        return least_outstanding(table, request, rng);
    };
    let second = draw_candidate(table, request, rng).unwrap_or(first);
    let load = |slot: usize| table.runners()[slot].requests();
    let (slot, other) = if load(second) < load(first) { (second, first) } else { (first, second) };
    let reason = Reason::LessOfTwo { outstanding: load(slot), other: load(other) };
    Some(choice(table, slot, reason))
}

/// Draws a candidate at random.
fn draw_candidate<R: Rng>(table: &Table, request: &Request<'_>, rng: &mut R) -> Option<usize> {
    let count = table.len();
    if count == 0 {
        return None;
    }
    (0..MAX_DRAWS)
        .map(|_| rng.random_range(0..count))
        .find(|&slot| is_candidate(&table.runners()[slot], request))
}

fn choice(table: &Table, slot: usize, reason: Reason) -> Choice {
    Choice { runner: table.runners()[slot].id.clone(), slot, reason }
}
