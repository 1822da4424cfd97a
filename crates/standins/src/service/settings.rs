use std::net::SocketAddr;
use std::time::Duration;

/// Settings of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Address to listen on; with port 0 the operating system chooses the port.
    pub address: SocketAddr,
    /// Delay of each call.
    pub delay: Duration,
    /// Text in a request body that kills the service after the call was counted.
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
