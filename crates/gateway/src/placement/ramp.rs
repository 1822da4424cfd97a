use std::time::Duration;

use crate::placement::utility::LATE_LOSS;

/// Time for which a server is slow after its start, in which work for it ramps up.
pub const RAMP_TIME: Duration = Duration::from_secs(5);

/// Returns the expected loss of a request on a server that started `age` ago and has `requests` in
/// its `slots`, in units of request value.
///
/// The slots count as available one after another over [`RAMP_TIME`]. A request beyond those is
/// expected to be late, the less so the longer the server has been running.
pub fn ramp_cost(age: Duration, requests: u32, slots: u32) -> f64 {
    let progress = (age.as_secs_f64() / RAMP_TIME.as_secs_f64()).min(1.0);
    let available = f64::from(slots) * progress;
    let beyond = (f64::from(requests) + 1.0 - available).clamp(0.0, 1.0);
    LATE_LOSS * beyond * (1.0 - progress)
}
