use std::time::Duration;

use kumquattiller_dialect::engine;
use reqwest::RequestBuilder;
use reqwest::Response;
use serde::de::DeserializeOwned;

use crate::Fault;
use crate::Transport;
use crate::engine::Error;
use crate::engine::Events;

/// Time limit for calls that do not run the model.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// Client of one engine's HTTP API.
#[derive(Debug, Clone)]
pub struct Client {
    transport: Transport,
    url: String,
}

impl Client {
    /// Creates a client of the engine at base URL `url`.
    pub fn new(transport: Transport, url: &str) -> Self {
        Self { transport, url: url.trim_end_matches('/').to_owned() }
    }

    /// Returns the engine's base URL.
    pub fn url(&self) -> &str {
        &self.url
    }

    /// Starts a completion and returns the events of its stream.
    ///
    /// # Errors
    ///
    /// Fails when the engine rejects the call or does not respond.
    pub async fn complete(&self, completion: &engine::Completion) -> Result<Events, Error> {
        let request = self.transport.http().post(self.endpoint("/v1/completions")).json(completion);
        Ok(Events::new(self.send(request).await?))
    }

    /// Resumes reading a stream at token `offset`.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not have the stream or does not respond.
    pub async fn resume(&self, stream: &str, offset: u64) -> Result<Events, Error> {
        let path = format!("/v1/streams/{stream}?offset={offset}");
        Ok(Events::new(self.send(self.transport.http().get(self.endpoint(&path))).await?))
    }

    /// Cancels a stream and frees its memory; an unknown stream is not an error.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not respond.
    pub async fn cancel(&self, stream: &str) -> Result<(), Error> {
        self.delete(&format!("/v1/streams/{stream}")).await
    }

    /// Computes the KV cache of a prompt segment and keeps it on the engine.
    ///
    /// # Errors
    ///
    /// Fails when the engine rejects the call or does not respond.
    pub async fn prefill(&self, prefill: &engine::Prefill) -> Result<engine::Handle, Error> {
        self.send_for_json(self.transport.http().post(self.endpoint("/v1/prefill")).json(prefill))
            .await
    }

    /// Lets other engines read the KV cache of a handle on this engine.
    ///
    /// Returns the handle that the other engines have to use.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not have the handle or does not respond.
    pub async fn export(&self, handle: &str) -> Result<engine::Handle, Error> {
        let path = format!("/v1/kv/{handle}/export");
        self.send_for_json(
            self.with_control_timeout(self.transport.http().post(self.endpoint(&path))),
        )
        .await
    }

    /// Copies an exported KV cache of another engine to this one.
    ///
    /// # Errors
    ///
    /// Fails when the engine rejects the call or does not respond.
    pub async fn import(&self, handle: &engine::Handle) -> Result<engine::Handle, Error> {
        self.send_for_json(self.transport.http().post(self.endpoint("/v1/kv/import")).json(handle))
            .await
    }

    /// Frees the KV cache of a handle; an unknown handle is not an error.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not respond.
    pub async fn release(&self, handle: &str) -> Result<(), Error> {
        self.delete(&format!("/v1/kv/{handle}")).await
    }

    /// Returns the streams and handles that occupy KV memory.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not respond.
    pub async fn holdings(&self) -> Result<engine::Holdings, Error> {
        self.get("/v1/holdings").await
    }

    /// Returns the engine's load, which is as old as its `age_ms`.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not respond.
    pub async fn load(&self) -> Result<engine::Load, Error> {
        self.get("/v1/load").await
    }

    /// Returns the cache events after sequence number `after`.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not respond.
    pub async fn cache_events(&self, after: u64) -> Result<engine::CacheEvents, Error> {
        self.get(&format!("/v1/cache_events?after={after}")).await
    }

    /// Returns the engine's loaded models and adapters and its role.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not respond.
    pub async fn state(&self) -> Result<engine::State, Error> {
        self.get("/v1/state").await
    }

    /// Sends an order and returns the resulting state.
    ///
    /// There is no time limit, because loading takes as long as the weight store needs.
    ///
    /// # Errors
    ///
    /// Fails when the engine rejects the call or does not respond.
    pub async fn order(&self, order: &engine::Order) -> Result<engine::State, Error> {
        self.send_for_json(self.transport.http().post(self.endpoint("/v1/orders")).json(order))
            .await
    }

    /// Returns whether the engine responds to its health check.
    pub async fn is_alive(&self) -> bool {
        let request =
            self.with_control_timeout(self.transport.http().get(self.endpoint("/healthz")));
        self.send(request).await.is_ok()
    }

    fn endpoint(&self, path: &str) -> String {
        format!("{}{path}", self.url)
    }

    fn with_control_timeout(&self, request: RequestBuilder) -> RequestBuilder {
        request.timeout(CONTROL_TIMEOUT)
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.send_for_json(
            self.with_control_timeout(self.transport.http().get(self.endpoint(path))),
        )
        .await
    }

    async fn delete(&self, path: &str) -> Result<(), Error> {
        self.send(self.with_control_timeout(self.transport.http().delete(self.endpoint(path))))
            .await
            .map(|_| ())
    }

    /// Sends a request and maps its status to a result.
    async fn send(&self, request: RequestBuilder) -> Result<Response, Error> {
        let response = request.send().await.map_err(|error| Fault::from_http_error(&error))?;
        let status = response.status();
        if status.is_success() {
            return Ok(response);
        }
        match self.transport.read_json(response).await {
            Ok(error) => Err(Error::Refused(error)),
            Err(_) => {
                Err(Fault::Malformed(format!("status {status} without an error body")).into())
            }
        }
    }

    /// Sends a request and deserializes the response body.
    async fn send_for_json<T: DeserializeOwned>(
        &self,
        request: RequestBuilder,
    ) -> Result<T, Error> {
        let response = self.send(request).await?;
        Ok(self.transport.read_json(response).await?)
    }
}
