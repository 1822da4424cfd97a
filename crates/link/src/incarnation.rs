//! Incarnation numbers, which tell apart successive starts of a process.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Returns an incarnation number for a process that starts now: microseconds since the Unix epoch.
///
/// A later start on the same VM gets a higher number unless the VM's clock steps back by more than
/// the time between the starts.
pub fn generate() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}
