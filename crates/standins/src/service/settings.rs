use std::net::SocketAddr;
use std::time::Duration;

/// Settings of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Address to listen on; port 0 for one that the operating system chooses.
    pub address: SocketAddr,
    /// Time that each call takes.
    pub delay: Duration,
    /// Text in a body that ends the service once the call was counted.
    pub crash_marker: Option<String>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            delay: Duration::from_millis(5),
            crash_marker: None,
        }
    }
}
