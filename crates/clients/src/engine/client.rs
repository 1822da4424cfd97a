use std::time::Duration;

use kumquattiller_dialect::engine;
use reqwest::RequestBuilder;
use reqwest::Response;
use serde::de::DeserializeOwned;

use crate::Fault;
use crate::Transport;
use crate::engine::Error;
use crate::engine::Events;

/// Longest wait for calls that do no model work.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// Calls one engine.
#[derive(Debug, Clone)]
pub struct Client {
    transport: Transport,
    url: String,
}

impl Client {
    /// Sets up calls to the engine at base URL `url`.
    pub fn new(transport: Transport, url: &str) -> Self {
        Self { transport, url: url.trim_end_matches('/').to_owned() }
    }

    /// Returns the engine's base URL.
    pub fn url(&self) -> &str {
        &self.url
    }

    /// Starts a stream.
    ///
    /// # Errors
    ///
    /// Fails when the engine refuses or does not answer.
    pub async fn complete(&self, completion: &engine::Completion) -> Result<Events, Error> {
        let request = self.transport.http().post(self.at("/v1/completions")).json(completion);
        Ok(Events::new(send(request).await?))
    }

    /// Reads a stream again from token `offset` on.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not have the stream or does not answer.
    pub async fn resume(&self, stream: &str, offset: u64) -> Result<Events, Error> {
        let path = format!("/v1/streams/{stream}?offset={offset}");
        Ok(Events::new(send(self.transport.http().get(self.at(&path))).await?))
    }

    /// Cancels a stream and frees what it holds; a stream that is gone is no error.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not answer.
    pub async fn cancel(&self, stream: &str) -> Result<(), Error> {
        self.delete(&format!("/v1/streams/{stream}")).await
    }

    /// Computes KV and keeps it on the engine.
    ///
    /// # Errors
    ///
    /// Fails when the engine refuses or does not answer.
    pub async fn prefill(&self, prefill: &engine::Prefill) -> Result<engine::Handle, Error> {
        json(self.transport.http().post(self.at("/v1/prefill")).json(prefill)).await
    }

    /// Makes kept KV readable for other engines.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not have the handle or does not answer.
    pub async fn export(&self, handle: &str) -> Result<engine::Handle, Error> {
        let path = format!("/v1/kv/{handle}/export");
        json(self.control(self.transport.http().post(self.at(&path)))).await
    }

    /// Copies KV of another engine onto this one.
    ///
    /// # Errors
    ///
    /// Fails when the engine refuses or does not answer.
    pub async fn import(&self, handle: &engine::Handle) -> Result<engine::Handle, Error> {
        json(self.transport.http().post(self.at("/v1/kv/import")).json(handle)).await
    }

    /// Frees a handle; a handle that is gone is no error.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not answer.
    pub async fn release(&self, handle: &str) -> Result<(), Error> {
        self.delete(&format!("/v1/kv/{handle}")).await
    }

    /// Returns what holds KV memory.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not answer.
    pub async fn holdings(&self) -> Result<engine::Holdings, Error> {
        self.get("/v1/holdings").await
    }

    /// Returns the engine's load, which lags.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not answer.
    pub async fn load(&self) -> Result<engine::Load, Error> {
        self.get("/v1/load").await
    }

    /// Returns the cache events after a sequence number.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not answer.
    pub async fn cache_events(&self, after: u64) -> Result<engine::CacheEvents, Error> {
        self.get(&format!("/v1/cache_events?after={after}")).await
    }

    /// Returns what the engine has loaded.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not answer.
    pub async fn state(&self) -> Result<engine::State, Error> {
        self.get("/v1/state").await
    }

    /// Gives an order; loads take as long as the weight store does.
    ///
    /// # Errors
    ///
    /// Fails when the engine refuses or does not answer.
    pub async fn order(&self, order: &engine::Order) -> Result<engine::State, Error> {
        json(self.transport.http().post(self.at("/v1/orders")).json(order)).await
    }

    /// Tells whether the engine answers.
    pub async fn is_alive(&self) -> bool {
        let request = self.control(self.transport.http().get(self.at("/healthz")));
        send(request).await.is_ok()
    }

    fn at(&self, path: &str) -> String {
        format!("{}{path}", self.url)
    }

    fn control(&self, request: RequestBuilder) -> RequestBuilder {
        request.timeout(CONTROL_TIMEOUT)
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        json(self.control(self.transport.http().get(self.at(path)))).await
    }

    async fn delete(&self, path: &str) -> Result<(), Error> {
        send(self.control(self.transport.http().delete(self.at(path)))).await.map(|_| ())
    }
}

/// Sends a request and sorts its status.
async fn send(request: RequestBuilder) -> Result<Response, Error> {
    let response = request.send().await.map_err(|error| Fault::of(&error))?;
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let text = response.text().await.unwrap_or_default();
    match serde_json::from_str(&text) {
        Ok(error) => Err(Error::Refused(error)),
        Err(_) => Err(Fault::Malformed(format!("status {status} without an error body")).into()),
    }
}

/// Sends a request and reads its answer.
async fn json<T: DeserializeOwned>(request: RequestBuilder) -> Result<T, Error> {
    let response = send(request).await?;
    Ok(response.json().await.map_err(|error| Fault::of(&error))?)
}
