//! The estimated cost of a request at each runner.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::band::Band;
use crate::choice::Choice;
use crate::choice::Reason;
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

/// Picks the open runner with the lowest cost, ties from a random start.
pub(super) fn lowest<R: Rng>(
    table: &Table,
    request: &Request<'_>,
    pace: &Pace,
    rng: &mut R,
) -> Option<Choice> {
    let count = table.len();
    if count == 0 {
        return None;
    }
    let start = rng.random_range(0..count);
    let (cost, slot) = (0..count)
        .map(|step| (start + step) % count)
        .filter(|&slot| is_candidate(&table.runners()[slot], request))
        .map(|slot| (of(&table.runners()[slot], request, pace), slot))
        .min_by_key(|&(cost, _)| cost)?;
    let runner = &table.runners()[slot];
    let reason = Reason::LowestCost { cost, distance: runner.distance };
    Some(Choice { runner: runner.id.clone(), slot, reason })
}

/// Returns the delay of the request at a runner, and the delay that it causes there.
pub(super) fn of(runner: &Runner, request: &Request<'_>, pace: &Pace) -> Duration {
    memory_wait(runner, request)
        + prefill_wait(runner, request, pace)
        + interference(runner, request, pace)
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

/// Returns how long prompts of others slow this answer, and this prompt the answers of others.
fn interference(runner: &Runner, request: &Request<'_>, pace: &Pace) -> Duration {
    let suffered = pace.prefill_time(runner.long_backlog()).min(pace.decode_time(request.answer));
    let caused = pace.prefill_time(request.prompt) * runner.requests() / CAUSED_SHARE;
    suffered + caused
}

/// Share of the delay caused to others that counts, as a divisor.
const CAUSED_SHARE: u32 = 8;

/// Returns the cost of the way to the runner.
const fn distance_cost(distance: Distance) -> Duration {
    match distance {
        Distance::OwnZone => Duration::ZERO,
        Distance::OwnRegion => OWN_REGION_COST,
        Distance::OtherRegion => OTHER_REGION_COST,
    }
}
