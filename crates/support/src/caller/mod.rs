//! An HTTP client that sends requests with the credential of a client account.

mod answer;
mod stream;

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::Client;
use reqwest::RequestBuilder;
use serde_json::Value;
use serde_json::json;

pub use answer::Answer;
pub use stream::Piece;
pub use stream::Stream;

/// Maximum duration of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Sends requests to one entry daemon.
#[derive(Debug, Clone)]
pub struct Caller {
    http: Client,
    url: String,
    credential: String,
}

impl Caller {
    /// Creates a caller.
    ///
    /// # Panics
    ///
    /// Panics when the HTTP client cannot be set up.
    pub fn new(daemon: SocketAddr, credential: &str) -> Self {
        let http = Client::builder().no_proxy().timeout(REQUEST_TIMEOUT).build();
        Self {
            http: http.expect("HTTP client can be set up"),
            url: format!("http://{daemon}"),
            credential: credential.to_owned(),
        }
    }

    /// Builds the body of a completion request.
    pub fn completion(model: &str, prompt: &str, max_tokens: u64, stream: bool) -> Value {
        json!({"model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": stream})
    }

    /// Builds a request with the credential, to which tests can add headers.
    pub fn request(&self, method: &str, path: &str) -> RequestBuilder {
        let method = method.parse().expect("method is valid");
        let url = format!("{}{path}", self.url);
        self.http.request(method, url).bearer_auth(&self.credential)
    }

    /// Sends a completion request and reads the complete response.
    pub async fn complete(&self, body: &Value) -> Answer {
        self.send(self.request("POST", "/v1/completions").json(body)).await
    }

    /// Starts a streamed completion.
    ///
    /// # Errors
    ///
    /// Returns the response when it is not a stream.
    pub async fn stream(&self, body: &Value) -> Result<Stream, Answer> {
        self.open_stream(self.request("POST", "/v1/completions").json(body)).await
    }

    /// Resumes a stream after the event with id `last_event_id`.
    ///
    /// # Errors
    ///
    /// Returns the response when it is not a stream.
    pub async fn resume(&self, last_event_id: &str) -> Result<Stream, Answer> {
        let request = self.request("POST", "/v1/completions");
        self.open_stream(request.header("Last-Event-ID", last_event_id)).await
    }

    /// Calls a plain service, with an idempotency key if given.
    pub async fn call(
        &self,
        service: &str,
        method: &str,
        path: &str,
        key: Option<&str>,
        body: &Value,
    ) -> Answer {
        let mut request = self.request(method, &format!("/services/{service}{path}")).json(body);
        if let Some(key) = key {
            request = request.header("Idempotency-Key", key);
        }
        self.send(request).await
    }

    /// Returns the status of a `GET` without a credential, or `None` without a response.
    pub async fn probe(&self, path: &str) -> Option<u16> {
        let answer = self.http.get(format!("{}{path}", self.url)).send().await.ok()?;
        Some(answer.status().as_u16())
    }

    /// Sends a request and reads the complete response.
    pub async fn send(&self, request: RequestBuilder) -> Answer {
        match request.send().await {
            Ok(response) => Answer::read(response).await,
            Err(error) => Answer::from_error(&error),
        }
    }

    async fn open_stream(&self, request: RequestBuilder) -> Result<Stream, Answer> {
        let response = request.send().await.map_err(|error| Answer::from_error(&error))?;
        let content_type = response.headers().get("content-type").cloned();
        let is_stream =
            content_type.is_some_and(|v| v.as_bytes().starts_with(b"text/event-stream"));
        if !is_stream {
            return Err(Answer::read(response).await);
        }
        Ok(Stream::new(response))
    }
}
