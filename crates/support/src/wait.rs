//! Waits for a condition.

use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;

/// Pause between looks at the condition.
const PAUSE: Duration = Duration::from_millis(20);

/// Waits until `condition` holds.
///
/// # Panics
///
/// Panics when it does not hold within `limit`; `what` names it.
pub async fn until(what: &str, limit: Duration, mut condition: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < limit, "{what} did not happen within {limit:?}");
        sleep(PAUSE).await;
    }
}
