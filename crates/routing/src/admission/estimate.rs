//! Estimates of when a request would start and end.

use std::time::Duration;

use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;

use crate::admission::Item;
use crate::admission::Limits;

/// Returns the time from start to end on a busy engine.
pub(super) fn busy_time(item: &Item, limits: &Limits) -> Duration {
    if item.is_reservation {
        return Duration::ZERO;
    }
    let decode = limits.busy_step * item.answer.get().min(u64::from(u32::MAX)) as u32;
    // The engine decodes others beside, so a prompt takes about twice its time alone.
    limits.pace.prefill_time(item.prompt) * 2 + decode
}

/// Returns the wait until `lacking` tokens are given back, from the expected ends of what runs.
pub(super) fn memory_wait(
    lacking: Tokens,
    now: Moment,
    ends: impl Iterator<Item = (Moment, Tokens)>,
) -> Option<Duration> {
    if lacking == Tokens::ZERO {
        return Some(Duration::ZERO);
    }
    let mut ends: Vec<(Moment, Tokens)> = ends.collect();
    ends.sort_unstable();
    let mut given = Tokens::ZERO;
    for (end, tokens) in ends {
        given = given.saturating_add(tokens);
        if given >= lacking {
            return Some(end.since(now));
        }
    }
    None
}
