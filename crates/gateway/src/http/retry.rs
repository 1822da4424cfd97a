//! Retry delays for refused callers.

use std::time::Duration;

/// Minimum retry delay while the store is unreachable.
const OUTAGE_RETRY: Duration = Duration::from_millis(1_500);
/// Maximum random jitter added to [`OUTAGE_RETRY`], so that callers do not all retry together.
const OUTAGE_SPREAD: Duration = Duration::from_millis(1_500);

/// Minimum retry delay when the servers have no memory for a prompt.
const MIN_ROOM_RETRY: Duration = Duration::from_millis(500);
/// Maximum retry delay, before jitter, when the servers have no memory for a prompt.
const MAX_ROOM_RETRY: Duration = Duration::from_millis(2_000);

/// Returns the retry delay for a request that found no configuration within its waiting time;
/// `draw` is a uniform random number in 0..1.
///
/// This happens when all daemons restart while the store is unreachable. Most callers retry only
/// once, so a retry during the outage would fail for good.
pub fn outage_retry_delay(draw: f64) -> Duration {
    OUTAGE_RETRY + OUTAGE_SPREAD.mul_f64(draw)
}

/// Returns the retry delay for a prompt that no server has memory for: the time until half of the
/// servers have read the prompts sent to them, plus jitter. `unread_ms` is the remaining reading
/// time of each server in milliseconds, and `draw` a uniform random number in 0..1.
///
/// This happens to large prompts during a burst of long ones. A retry without delay would find the
/// same servers full and use up the caller's last retry.
pub fn room_retry_delay(mut unread_ms: Vec<f64>, draw: f64) -> Duration {
    unread_ms.sort_by(f64::total_cmp);
    let median_ms = unread_ms.get(unread_ms.len() / 2).copied().unwrap_or_default();
    let median = Duration::from_secs_f64(median_ms / 1e3).clamp(MIN_ROOM_RETRY, MAX_ROOM_RETRY);
    median.mul_f64(1.0 + draw / 2.0)
}
