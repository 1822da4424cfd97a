//! The estimated cost of a request at each runner.

use std::time::Duration;

use kumquattiller_base::size::Tokens;
use rand::Rng;
use rand::RngExt;

use crate::band::Band;
use crate::choice::Choice;
use crate::choice::Reason;
use crate::interval::Division;
use crate::pace::Pace;
use crate::request::Request;
use crate::router::is_candidate;
use crate::table::Distance;
use crate::table::Runner;
use crate::table::Table;

/// Time after which an engine's requests have typically given their memory back.
const TURNOVER: Duration = Duration::from_secs(10);

/// Cost added for a runner in another availability zone of the region.
const OWN_REGION_COST: Duration = Duration::from_millis(5);

/// Cost added for a runner in another region.
const OTHER_REGION_COST: Duration = Duration::from_millis(500);

/// Open runners that a decision compares, from a random start, beside the holder of a prefix.
const MAX_CANDIDATES: usize = 32;

/// What a policy weighs.
#[derive(Debug, Clone, Copy)]
pub(super) struct Weights {
    /// Share of the delay caused to others that counts.
    pub caused: f64,
    /// Engines set aside for long prompts.
    pub division: Division,
    /// Cost of a short prompt on an engine set aside, as a share of its decoding.
    pub short_toll: f64,
    /// Cost of a long prompt on another engine, as a share of its time on an idle engine.
    pub long_toll: f64,
}

/// Picks the candidate with the lowest cost, ties from a random start.
pub(super) fn lowest<R: Rng>(
    table: &Table,
    request: &Request<'_>,
    pace: &Pace,
    weights: &Weights,
    prefix: Option<(usize, Tokens)>,
    rng: &mut R,
) -> Option<Choice> {
    let count = table.len();
    if count == 0 {
        return None;
    }
    let cached = |slot| prefix.filter(|&(s, _)| s == slot).map_or(Tokens::ZERO, |(_, t)| t);
    let holder = prefix.map(|(slot, _)| slot);
    let holder = holder.filter(|&slot| is_candidate(&table.runners()[slot], request));
    let start = rng.random_range(0..count);
    let (cost, slot) = (0..count)
        .map(|step| (start + step) % count)
        .filter(|&slot| is_candidate(&table.runners()[slot], request))
        .take(MAX_CANDIDATES)
        .chain(holder)
        .map(|slot| (of(&table.runners()[slot], request, pace, weights, cached(slot)), slot))
        .min_by_key(|&(cost, _)| cost)?;
    let runner = &table.runners()[slot];
    let cached = cached(slot);
    let reason = if cached > Tokens::ZERO {
        Reason::Prefix { cached }
    } else if is_borrowed(runner, request, weights) {
        Reason::Borrowed { cost, cutoff: weights.division.cutoff }
    } else {
        Reason::LowestCost { cost, distance: runner.distance }
    };
    Some(Choice { runner: runner.id.clone(), slot, reason })
}

/// Returns the delay of the request at a runner, and the delay that it causes there.
pub(super) fn of(
    runner: &Runner,
    request: &Request<'_>,
    pace: &Pace,
    weights: &Weights,
    cached: Tokens,
) -> Duration {
    let computed = request.prompt.saturating_sub(cached);
    memory_wait(runner, request)
        + prefill_wait(runner, request, pace)
        + suffered(runner, request, pace)
        + pace.prefill_time(computed)
        + caused(runner, computed, pace).mul_f64(weights.caused)
        + toll(runner, request, pace, weights)
        + distance_cost(runner.distance)
}

/// Returns the wait until the engine's memory has room.
fn memory_wait(runner: &Runner, request: &Request<'_>) -> Duration {
    let lacking = request.footprint().saturating_sub(runner.free()).get();
    let capacity = runner.load.capacity.get();
    if lacking == 0 || capacity == 0 {
        return Duration::ZERO;
    }
    TURNOVER.mul_f64(lacking as f64 / capacity as f64)
}

/// Returns the wait until the prompt is computed; engines compute short prompts first.
fn prefill_wait(runner: &Runner, request: &Request<'_>, pace: &Pace) -> Duration {
    let ahead = match request.band() {
        Band::UpTo8k => runner.backlog().saturating_sub(runner.long_backlog()),
        Band::From8kTo100k | Band::Over100k => runner.backlog(),
    };
    pace.prefill_time(ahead)
}

/// Returns how long prompts of others slow this answer.
fn suffered(runner: &Runner, request: &Request<'_>, pace: &Pace) -> Duration {
    pace.prefill_time(runner.long_backlog()).min(pace.decode_time(request.answer))
}

/// Returns how long this prompt slows the answers of others, summed up over them.
fn caused(runner: &Runner, computed: Tokens, pace: &Pace) -> Duration {
    pace.prefill_time(computed) * runner.requests()
}

/// Tells whether the runner is set aside for the other side of the cut-off.
fn is_borrowed(runner: &Runner, request: &Request<'_>, weights: &Weights) -> bool {
    let is_long = request.prompt > weights.division.cutoff;
    weights.division.long_engines > 0 && is_long != (runner.rank < weights.division.long_engines)
}

/// Returns the cost of crossing the cut-off.
fn toll(runner: &Runner, request: &Request<'_>, pace: &Pace, weights: &Weights) -> Duration {
    if !is_borrowed(runner, request, weights) {
        return Duration::ZERO;
    }
    if request.prompt > weights.division.cutoff {
        pace.service_time(request.prompt, request.answer).mul_f64(weights.long_toll)
    } else {
        pace.decode_time(request.answer).mul_f64(weights.short_toll)
    }
}

/// Returns the cost of the way to the runner.
const fn distance_cost(distance: Distance) -> Duration {
    match distance {
        Distance::OwnZone => Duration::ZERO,
        Distance::OwnRegion => OWN_REGION_COST,
        Distance::OtherRegion => OTHER_REGION_COST,
    }
}
