//! The policies that others are measured against.

use rand::Rng;
use rand::RngExt;

use crate::choice::Choice;
use crate::choice::Reason;
use crate::request::Request;
use crate::router::is_candidate;
use crate::table::Table;

/// Draws before a search gives up on a table with few open runners.
const MAX_DRAWS: usize = 16;

/// Picks the next open runner from `turn` on, and returns the turn after it.
pub(super) fn by_turn(
    table: &Table,
    request: &Request<'_>,
    turn: usize,
) -> Option<(Choice, usize)> {
    let count = table.len();
    let slot = (0..count)
        .map(|step| (turn + step) % count)
        .find(|&slot| is_candidate(&table.runners()[slot], request))?;
    Some((choice(table, slot, Reason::Turn), (slot + 1) % count))
}

/// Picks the open runner with the fewest outstanding requests, ties from a random start.
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

/// Picks the less loaded of two open runners drawn at random.
pub(super) fn two_choices<R: Rng>(
    table: &Table,
    request: &Request<'_>,
    rng: &mut R,
) -> Option<Choice> {
    let Some(first) = draw(table, request, rng) else {
        return least_outstanding(table, request, rng);
    };
    let second = draw(table, request, rng).unwrap_or(first);
    let requests = |slot: usize| table.runners()[slot].requests();
    let (slot, other) =
        if requests(second) < requests(first) { (second, first) } else { (first, second) };
    let reason = Reason::LessOfTwo { outstanding: requests(slot), other: requests(other) };
    Some(choice(table, slot, reason))
}

fn draw<R: Rng>(table: &Table, request: &Request<'_>, rng: &mut R) -> Option<usize> {
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
