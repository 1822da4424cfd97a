use std::time::Duration;

/// Minimum interval between the regular reports of a daemon.
const MIN_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum interval between the regular reports of a daemon.
const MAX_INTERVAL: Duration = Duration::from_secs(1);
/// Added to the interval for each peer, so that the rate of received reports stays about constant.
const INTERVAL_PER_PEER: Duration = Duration::from_millis(4);
/// Minimum age from which a report is ignored.
const MIN_MAX_AGE: Duration = Duration::from_millis(600);
/// Number of intervals after which a report is ignored, so that the loss of one is tolerated.
const MAX_AGE_INTERVALS: f64 = 2.4;

/// Returns the interval between the regular reports of a daemon that has this many peers.
pub fn report_interval(peers: usize) -> Duration {
    (INTERVAL_PER_PEER * peers as u32).clamp(MIN_INTERVAL, MAX_INTERVAL)
}

/// Returns the age from which a daemon with this many peers ignores their reports.
pub fn max_report_age(peers: usize) -> Duration {
    report_interval(peers).mul_f64(MAX_AGE_INTERVALS).max(MIN_MAX_AGE)
}
