//! Polls for a condition.

use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;

/// Interval between checks of the condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until `condition` holds.
///
/// # Panics
///
/// Panics when the condition does not hold within `limit`; `what` describes it in the message.
pub async fn until(what: &str, limit: Duration, mut condition: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < limit, "{what} did not happen within {limit:?}");
        sleep(POLL_INTERVAL).await;
    }
}
