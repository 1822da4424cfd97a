use std::time::Duration;

use reqwest::Client;
use reqwest::Response;
use serde::de::DeserializeOwned;

use crate::Fault;
use crate::body::Memory;

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of idle connections that are kept open for each host.
const MAX_IDLE_PER_HOST: usize = 256;

/// HTTP connection pool shared by the adapters of a process.
#[derive(Debug, Clone)]
pub struct Transport {
    http: Client,
    bodies: Memory,
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
        Self { http, bodies: Memory::default() }
    }

    pub(crate) const fn http(&self) -> &Client {
        &self.http
    }

    /// Reads the body of a response.
    ///
    /// # Errors
    ///
    /// Fails if the body is not complete, is too large or finds no memory.
    pub(crate) async fn read(&self, response: Response) -> Result<bytes::Bytes, Fault> {
        self.bodies.read(response).await
    }

    /// Reads and deserializes the body of a response.
    ///
    /// # Errors
    ///
    /// Fails like [`Transport::read`], or if the body is malformed.
    pub(crate) async fn read_json<T: DeserializeOwned>(
        &self,
        response: Response,
    ) -> Result<T, Fault> {
        let body = self.read(response).await?;
        serde_json::from_slice(&body).map_err(|error| Fault::Malformed(error.to_string()))
    }
}

impl Default for Transport {
    fn default() -> Self {
        Self::new()
    }
}
