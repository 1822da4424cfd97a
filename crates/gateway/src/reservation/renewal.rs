//! When a reservation is renewed, and for how long.

use std::time::Duration;

/// Lifetime of a reservation without renewal. It must be shorter than the time for which memory may
/// stay reserved after its request has ended.
pub const LIFETIME: Duration = Duration::from_millis(3_500);
/// Interval between renewals.
const INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval between renewals at a server that limits its rate.
const LIMITED_INTERVAL: Duration = Duration::from_millis(2_000);
/// Time for which a reservation that is renewed in a pause lasts beyond it.
const PAUSE_MARGIN: Duration = Duration::from_millis(1_000);
/// Longest time for which servers make a reservation.
const MAX_LIFETIME: Duration = Duration::from_millis(20_000);
/// Interval at which renewals that are due are looked for.
pub(super) const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Returns the lifetime for which a reservation is renewed now, or `None` if it is not due. The
/// reservation expires in `left`; `pause` is the time for which its server wants no requests, and
/// `is_limited` whether it limits its rate.
pub fn due(left: Duration, pause: Duration, is_limited: bool) -> Option<Duration> {
    if !pause.is_zero() {
        let lifetime = (pause + PAUSE_MARGIN).clamp(LIFETIME, MAX_LIFETIME);
        return (left < pause + PAUSE_MARGIN / 2).then_some(lifetime);
    }
    let interval = if is_limited { LIMITED_INTERVAL } else { INTERVAL };
    (left + interval <= LIFETIME).then_some(LIFETIME)
}
