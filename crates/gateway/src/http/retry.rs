//! When a refused caller may come again.

use std::time::Duration;

use kumquattiller_base::time::Moment;

/// Time after its start in which a daemon has a configuration where the store answers.
const USUAL_START: Duration = Duration::from_millis(250);
/// When to come again within that time.
const START_RETRY: Duration = Duration::from_millis(300);
/// Shortest time after which a caller comes again to a daemon whose store does not answer.
const OUTAGE_RETRY: Duration = Duration::from_millis(1_500);
/// Added to it by chance at most, so that callers do not come back together.
const OUTAGE_SPREAD: Duration = Duration::from_millis(1_500);

/// Returns when to come again to a daemon that has no configuration at `now`, counted from its
/// start; `draw` is uniform in 0..1.
///
/// Answers callers after all daemons were lost while the store is away. Most of them try once
/// more only, so one that comes back within the outage is lost.
pub fn first_retry(now: Moment, draw: f64) -> Duration {
    if now.since(Moment::ZERO) < USUAL_START {
        START_RETRY
    } else {
        OUTAGE_RETRY + OUTAGE_SPREAD.mul_f64(draw)
    }
}
