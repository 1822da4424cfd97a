//! When a refused caller may come again.

use std::time::Duration;

/// Shortest time after which a caller comes again to a daemon whose store does not answer.
const OUTAGE_RETRY: Duration = Duration::from_millis(1_500);
/// Added to it by chance at most, so that callers do not come back together.
const OUTAGE_SPREAD: Duration = Duration::from_millis(1_500);

/// Returns when to come again to a daemon that has had no configuration for as long as it may let
/// a request wait; `draw` is uniform in 0..1.
///
/// Answers callers after all daemons were lost while the store is away. Most of them try once
/// more only, so one that comes back within the outage is lost.
pub fn outage_retry(draw: f64) -> Duration {
    OUTAGE_RETRY + OUTAGE_SPREAD.mul_f64(draw)
}
