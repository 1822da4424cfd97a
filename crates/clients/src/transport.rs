use std::time::Duration;

use reqwest::Client;

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of idle connections that are kept open for each host.
const MAX_IDLE_PER_HOST: usize = 256;

/// HTTP connection pool shared by the adapters of a process.
#[derive(Debug, Clone)]
pub struct Transport {
    http: Client,
}

impl Transport {
    /// Creates the connection pool; connections are opened on demand.
    ///
    /// # Panics
    ///
    /// Panics when the HTTP client cannot be created.
    pub fn new() -> Self {
        let http = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_PER_HOST)
            .tcp_nodelay(true)
            .no_proxy()
            .build()
            .expect("creating an HTTP client without TLS does not depend on the system");
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
