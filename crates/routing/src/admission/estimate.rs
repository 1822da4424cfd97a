//! Estimates of run times and of waits for memory.

use std::time::Duration;

use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;

use crate::admission::Item;
use crate::admission::Limits;

/// Returns the time from start to end of a request on a busy engine.
pub(super) fn busy_time(item: &Item, limits: &Limits) -> Duration {
    if item.is_reservation {
        return Duration::ZERO;
    }
    let decode = limits.busy_step * item.max_response.get().min(u64::from(u32::MAX)) as u32;
    // The engine decodes other requests at the same time, so a prompt takes about twice as long as
    // on an otherwise idle engine.
    limits.pace.prefill_time(item.prompt) * 2 + decode
}

/// Returns the wait until `missing` tokens are released, or `None` if the releases do not suffice.
///
/// `releases` has the expected end and the memory of each running request.
pub(super) fn memory_wait(
    missing: Tokens,
    now: Moment,
    releases: impl Iterator<Item = (Moment, Tokens)>,
) -> Option<Duration> {
    if missing == Tokens::ZERO {
        return Some(Duration::ZERO);
    }
    let mut releases: Vec<(Moment, Tokens)> = releases.collect();
    releases.sort_unstable();
    let mut released = Tokens::ZERO;
    for (end, tokens) in releases {
        released = released.saturating_add(tokens);
        if released >= missing {
            return Some(end.since(now));
        }
    }
    None
}
