//! When a refused caller may come again.

use std::time::Duration;

/// Shortest time after which a caller comes again to a daemon whose store does not answer.
const OUTAGE_RETRY: Duration = Duration::from_millis(1_500);
/// Added to it by chance at most, so that callers do not come back together.
const OUTAGE_SPREAD: Duration = Duration::from_millis(1_500);

/// Shortest time after which there may be room.
const LEAST_ROOM_RETRY: Duration = Duration::from_millis(500);
/// Longest time after which a caller looks for room again.
const MOST_ROOM_RETRY: Duration = Duration::from_millis(2_000);

/// Returns when to come again to a daemon that has had no configuration for as long as it may let
/// a request wait; `draw` is uniform in 0..1.
///
/// Answers callers after all daemons were lost while the store is away. Most of them try once
/// more only, so one that comes back within the outage is lost.
pub fn outage_retry(draw: f64) -> Duration {
    OUTAGE_RETRY + OUTAGE_SPREAD.mul_f64(draw)
}

/// Returns when there may be room for a prompt that the servers have none for: when half of them
/// have read what they were sent. `unread_ms` is that of each server and `draw` uniform in 0..1.
///
/// Answers large prompts under a burst of long ones. One that came back at once would find the
/// same servers full and have no try left.
pub fn room_retry(mut unread_ms: Vec<f64>, draw: f64) -> Duration {
    unread_ms.sort_by(f64::total_cmp);
    let middle = unread_ms.get(unread_ms.len() / 2).copied().unwrap_or_default();
    let read = Duration::from_secs_f64(middle / 1e3).clamp(LEAST_ROOM_RETRY, MOST_ROOM_RETRY);
    read.mul_f64(1.0 + draw / 2.0)
}
