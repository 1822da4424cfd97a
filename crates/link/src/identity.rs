/// Identity that a process presents on its links.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Id of the daemon or runner.
    pub name: String,
    /// Incarnation number, which increases with each start of the process.
    pub incarnation: u64,
    /// Availability zone.
    pub zone: String,
    /// Role: `entry`, `runner` or `operator`.
    pub role: String,
}
