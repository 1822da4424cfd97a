//! Incarnations of processes.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Draws the incarnation of a process that starts now: microseconds since 1970.
///
/// A process that starts later on the same VM has a higher number as long as the VM's clock does
/// not step back over the time between the starts.
pub fn draw() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}
