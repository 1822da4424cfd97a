//! Retry delays for refused callers.

use std::time::Duration;

/// Minimum retry delay of a request that found no configuration.
const OUTAGE_RETRY: Duration = Duration::from_millis(1_500);
/// Maximum random jitter added to [`OUTAGE_RETRY`], so that callers do not all retry together.
const OUTAGE_SPREAD: Duration = Duration::from_millis(1_500);

/// Minimum retry delay when the servers have no memory for a prompt.
const MIN_MEMORY_RETRY: Duration = Duration::from_millis(500);
/// Maximum retry delay, before jitter, when the servers have no memory for a prompt.
const MAX_MEMORY_RETRY: Duration = Duration::from_millis(2_000);

/// Returns the retry delay for a request that found no configuration within its waiting time;
/// `draw` is a uniform random number in 0..1.
///
/// This happens when all daemons restart while the store is unreachable. Most callers retry only
/// once, so a retry during the outage would fail for good.
pub fn outage_retry_delay(draw: f64) -> Duration {
    OUTAGE_RETRY + OUTAGE_SPREAD.mul_f64(draw)
}

/// Returns the retry delay for a prompt that no server has memory for: the time until half of the
/// servers have prefilled the prompts sent to them, plus jitter. `backlogs_ms` is the backlog of
/// each server in milliseconds, and `draw` a uniform random number in 0..1.
///
/// This happens to large prompts during a burst of long ones. A retry without delay would find the
/// memory still full and use up the caller's last retry.
pub fn memory_retry_delay(mut backlogs_ms: Vec<f64>, draw: f64) -> Duration {
    backlogs_ms.sort_by(f64::total_cmp);
    let median_ms = backlogs_ms.get(backlogs_ms.len() / 2).copied().unwrap_or_default();
    let median = Duration::from_secs_f64(median_ms / 1e3).clamp(MIN_MEMORY_RETRY, MAX_MEMORY_RETRY);
    median.mul_f64(1.0 + draw / 2.0)
}
