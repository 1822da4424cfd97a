/// Who a process is on its links.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Id of the daemon or runner.
    pub name: String,
    /// Rises with each start of the process.
    pub incarnation: u64,
    /// Availability zone.
    pub zone: String,
    /// `entry`, `runner` or `operator`.
    pub role: String,
}
