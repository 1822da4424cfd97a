use std::net::SocketAddr;
use std::time::Duration;

/// Settings of the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Address to listen on; with port 0 the operating system chooses the port.
    pub address: SocketAddr,
    /// Reads per second beyond which calls are answered with 429; a watch counts as one read.
    pub reads_per_second: u32,
    /// Writes per second beyond which calls are answered with 429.
    pub writes_per_second: u32,
    /// Number of most recent changes that are kept for watches.
    pub kept_changes: usize,
    /// Delay until a change of a VM is visible in the list.
    pub vm_lag: Duration,
    /// Latency of each call.
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
