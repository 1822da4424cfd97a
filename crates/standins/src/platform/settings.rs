use std::net::SocketAddr;
use std::time::Duration;

/// Settings of the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Address to listen on; port 0 for one that the operating system chooses.
    pub address: SocketAddr,
    /// Reads a second, a waiting watch counted as one, beyond which calls get 429.
    pub reads_per_second: u32,
    /// Writes a second beyond which calls get 429.
    pub writes_per_second: u32,
    /// Changes that are kept for watches.
    pub kept_changes: usize,
    /// Time until a change of a VM shows in the list.
    pub vm_lag: Duration,
    /// Time that each call takes.
    pub latency: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            reads_per_second: 2_000,
            writes_per_second: 400,
            kept_changes: 10_000,
            vm_lag: Duration::from_secs(2),
            latency: Duration::from_millis(2),
        }
    }
}
