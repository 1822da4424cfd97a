use std::time::Duration;

use reqwest::Client;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle connections kept for each host.
const IDLE_CONNECTIONS: usize = 256;

/// The HTTP connections that the adapters of one process share.
#[derive(Debug, Clone)]
pub struct Transport {
    http: Client,
}

impl Transport {
    /// Sets up the connections.
    ///
    /// # Panics
    ///
    /// Panics when the HTTP library cannot be set up on this machine.
    pub fn new() -> Self {
        let http = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
            .tcp_nodelay(true)
            .no_proxy()
            .build()
            .expect("HTTP client without TLS needs nothing of the machine");
        Self { http }
    }

    pub(crate) const fn http(&self) -> &Client {
        &self.http
    }
}

impl Default for Transport {
    fn default() -> Self {
        Self::new()
    }
}
