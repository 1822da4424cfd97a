//! Reads the resource usage of a process from `/proc`.

use crate::Error;

/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Bytes in a KiB, the unit of `/proc/PID/status`.
const BYTES_PER_KIB: f64 = 1024.0;
/// Index of the user time among the fields after the name in `/proc/PID/stat`; the system time
/// follows it.
const USER_TIME_FIELD: usize = 11;

/// Returns the processor time that a process has used so far, in seconds.
///
/// # Errors
///
/// Fails when the process does not run or the file cannot be parsed.
pub fn cpu_seconds(pid: u32) -> Result<f64, Error> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let rest = text.rsplit_once(')').ok_or("/proc/PID/stat has no process name")?.1;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let user: f64 =
        fields.get(USER_TIME_FIELD).ok_or("/proc/PID/stat has too few fields")?.parse()?;
    let system: f64 =
        fields.get(USER_TIME_FIELD + 1).ok_or("/proc/PID/stat has too few fields")?.parse()?;
    Ok((user + system) / TICKS_PER_SECOND)
}

/// Returns the resident memory of a process, in bytes.
///
/// # Errors
///
/// Fails when the process does not run or the file cannot be parsed.
pub fn resident_bytes(pid: u32) -> Result<f64, Error> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = text
        .lines()
        .find_map(|l| l.strip_prefix("VmRSS:"))
        .ok_or("/proc/PID/status has no VmRSS")?;
    let kib: f64 = line.trim().trim_end_matches(" kB").parse()?;
    Ok(kib * BYTES_PER_KIB)
}
