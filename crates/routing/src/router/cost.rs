//! Estimated cost of a request at each runner.

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

/// Typical time within which an engine's requests release its memory.
const MEMORY_TURNOVER: Duration = Duration::from_secs(10);

/// Cost added for a runner in another availability zone of the region.
const OWN_REGION_COST: Duration = Duration::from_millis(5);

/// Cost added for a runner in another region.
const OTHER_REGION_COST: Duration = Duration::from_millis(500);

/// Maximum number of candidates that a decision compares, from a random slot on. The holder of a
/// cached prefix is compared in addition.
const MAX_CANDIDATES: usize = 32;

/// Weights of the cost terms under a policy.
#[derive(Debug, Clone, Copy)]
pub(super) struct Weights {
    /// Weight of the delay that the request causes to other requests.
    pub delay_to_others: f64,
    /// Division of the engines by prompt size.
    pub division: Division,
    /// Penalty of a short prompt on an engine dedicated to long ones, relative to its decode time.
    pub short_penalty: f64,
    /// Penalty of a long prompt on any other engine, relative to its service time when idle.
    pub long_penalty: f64,
}

/// Picks the candidate with the lowest cost. Ties go to the first one from a random slot on.
///
/// `prefix` is the slot that probably has a prefix of the prompt cached, and the prefix's length.
pub(super) fn pick_lowest<R: Rng>(
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
    let cached = |slot| {
        prefix.filter(|&(holder, _)| holder == slot).map_or(Tokens::ZERO, |(_, tokens)| tokens)
    };
    let holder = prefix.map(|(slot, _)| slot);
    let holder = holder.filter(|&slot| is_candidate(&table.runners()[slot], request));
    let start = rng.random_range(0..count);
    let (cost, slot) = (0..count)
        .map(|step| (start + step) % count)
        .filter(|&slot| is_candidate(&table.runners()[slot], request))
        .take(MAX_CANDIDATES)
        .chain(holder)
        .map(|slot| (estimate(&table.runners()[slot], request, pace, weights, cached(slot)), slot))
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

/// Returns the estimated delay of the request at a runner, plus the weighted delay that it causes
/// to other requests there.
pub(super) fn estimate(
    runner: &Runner,
    request: &Request<'_>,
    pace: &Pace,
    weights: &Weights,
    cached: Tokens,
) -> Duration {
    let computed = request.prompt.saturating_sub(cached);
    memory_wait(runner, request)
        + prefill_wait(runner, request, pace)
        + decode_delay(runner, request, pace)
        + pace.prefill_time(computed)
        + delay_to_others(runner, computed, pace).mul_f64(weights.delay_to_others)
        + division_penalty(runner, request, pace, weights)
        + distance_cost(runner.distance)
}

/// Returns the wait until the engine's memory has room for the request. A runner that has not
/// reported yet counts as empty.
fn memory_wait(runner: &Runner, request: &Request<'_>) -> Duration {
    let missing = request.footprint().saturating_sub(runner.free()).get();
    let capacity = runner.load.capacity.get();
    if missing == 0 || capacity == 0 {
        return Duration::ZERO;
    }
    MEMORY_TURNOVER.mul_f64(missing as f64 / capacity as f64)
}

/// Returns the wait until the engine starts on the prompt. Engines compute short prompts first.
fn prefill_wait(runner: &Runner, request: &Request<'_>, pace: &Pace) -> Duration {
    let ahead = match request.band() {
        Band::UpTo8k => runner.backlog().saturating_sub(runner.long_backlog()),
        Band::From8kTo100k | Band::Over100k => runner.backlog(),
    };
    pace.prefill_time(ahead)
}

/// Returns how long the prefill of other long prompts delays the decoding of this response.
fn decode_delay(runner: &Runner, request: &Request<'_>, pace: &Pace) -> Duration {
    pace.prefill_time(runner.long_backlog()).min(pace.decode_time(request.max_response))
}

/// Returns how long the prefill of this prompt delays other requests, summed over them.
fn delay_to_others(runner: &Runner, computed: Tokens, pace: &Pace) -> Duration {
    pace.prefill_time(computed) * runner.requests()
}

/// Returns whether the runner is meant for prompts on the other side of the cutoff.
fn is_borrowed(runner: &Runner, request: &Request<'_>, weights: &Weights) -> bool {
    let is_long = request.prompt > weights.division.cutoff;
    weights.division.long_engines > 0 && is_long != (runner.rank < weights.division.long_engines)
}

/// Returns the penalty for a runner that is meant for prompts on the other side of the cutoff.
fn division_penalty(
    runner: &Runner,
    request: &Request<'_>,
    pace: &Pace,
    weights: &Weights,
) -> Duration {
    if !is_borrowed(runner, request, weights) {
        return Duration::ZERO;
    }
    if request.prompt > weights.division.cutoff {
        pace.service_time(request.prompt, request.max_response).mul_f64(weights.long_penalty)
    } else {
        pace.decode_time(request.max_response).mul_f64(weights.short_penalty)
    }
}

/// Returns the cost of the distance to the runner.
const fn distance_cost(distance: Distance) -> Duration {
    match distance {
        Distance::OwnZone => Duration::ZERO,
        Distance::OwnRegion => OWN_REGION_COST,
        Distance::OtherRegion => OTHER_REGION_COST,
    }
}
