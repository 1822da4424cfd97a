//! What the operating system says of a process.

use crate::Failure;

/// Clock ticks a second in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Bytes of a KiB, the unit of `/proc/PID/status`.
const KIB: f64 = 1024.0;
/// Position of the user time after the name in `/proc/PID/stat`.
const USER_FIELD: usize = 11;

/// Returns the processor time of a process so far, in seconds.
///
/// # Errors
///
/// Fails when the process does not run.
pub fn cpu_seconds(id: u32) -> Result<f64, Failure> {
    let text = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    let rest = text.rsplit_once(')').ok_or("stat without a name")?.1;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let user: f64 = fields.get(USER_FIELD).ok_or("stat is short")?.parse()?;
    let system: f64 = fields.get(USER_FIELD + 1).ok_or("stat is short")?.parse()?;
    Ok((user + system) / TICKS_PER_SECOND)
}

/// Returns the resident memory of a process, in bytes.
///
/// # Errors
///
/// Fails when the process does not run.
pub fn resident_bytes(id: u32) -> Result<f64, Failure> {
    let text = std::fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:")).ok_or("status without VmRSS")?;
    let kib: f64 = line.trim().trim_end_matches(" kB").parse()?;
    Ok(kib * KIB)
}
