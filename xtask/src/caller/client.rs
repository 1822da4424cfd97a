use std::time::Duration;
use std::time::Instant;

use eventsource_stream::Event;
use eventsource_stream::Eventsource;
use futures::StreamExt;
use reqwest::RequestBuilder;
use reqwest::Response;
use serde_json::Value;
use serde_json::json;

use crate::caller::Completion;
use crate::caller::Status;

/// Data of the event that ends a successful stream.
const DONE_DATA: &str = "[DONE]";
/// Type of the event that ends an incomplete completion.
const ERROR_EVENT: &str = "error";

/// An HTTP client that authenticates as one client account.
#[derive(Debug, Clone)]
pub struct Caller {
    http: reqwest::Client,
    credential: String,
}

impl Caller {
    /// Creates a caller that sends `credential`.
    pub fn new(credential: &str) -> Self {
        Self { http: reqwest::Client::new(), credential: credential.to_owned() }
    }

    /// Streams a completion from the entry daemon at `url`.
    pub async fn complete(
        &self,
        url: &str,
        model: &str,
        prompt: &str,
        max_tokens: u64,
        deadline: Duration,
    ) -> Completion {
        let body = json!({
            "model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": true
        });
        let request = self
            .http
            .post(format!("{url}/v1/completions"))
            .bearer_auth(&self.credential)
            .header("X-Deadline-Ms", deadline.as_millis().to_string())
            .json(&body);
        stream_completion(request).await
    }

    /// Streams a completion directly from a model engine at `url`.
    pub async fn complete_on_engine(
        &self,
        url: &str,
        request_id: &str,
        model: &str,
        prompt: &str,
        max_tokens: u64,
    ) -> Completion {
        let tokens = prompt.len().div_ceil(4);
        let body = json!({
            "request": request_id, "model": model, "prompt": prompt, "prompt_tokens": tokens,
            "max_tokens": max_tokens
        });
        stream_completion(self.http.post(format!("{url}/v1/completions")).json(&body)).await
    }

    /// Calls a plain service with the idempotency key `key`; returns the HTTP status, the body and
    /// the duration.
    ///
    /// # Errors
    ///
    /// Fails when the request cannot be sent or the response cannot be read.
    pub async fn call(
        &self,
        url: &str,
        path: &str,
        key: &str,
        body: &Value,
    ) -> Result<(u16, String, Duration), reqwest::Error> {
        let started = Instant::now();
        let response = self
            .http
            .post(format!("{url}{path}"))
            .bearer_auth(&self.credential)
            .header("Idempotency-Key", key)
            .json(body)
            .send()
            .await?;
        let status = response.status().as_u16();
        Ok((status, response.text().await?, started.elapsed()))
    }
}

/// Sends a request and reads the events of its response.
async fn stream_completion(request: RequestBuilder) -> Completion {
    let started = Instant::now();
    let mut completion = Completion {
        request_id: String::new(),
        last_event_id: String::new(),
        text: String::new(),
        first_token: None,
        token_gaps: Vec::new(),
        total: Duration::ZERO,
        status: Status::Failed("the connection ended".to_owned()),
    };
    match request.send().await {
        Ok(response) => read_events(response, &mut completion, started).await,
        Err(error) => completion.status = Status::Failed(error.to_string()),
    }
    completion.total = started.elapsed();
    completion
}

/// Reads the events of a response into `completion`; a response without success has none.
async fn read_events(response: Response, completion: &mut Completion, started: Instant) {
    let request_id = response.headers().get("X-Request-Id").and_then(|v| v.to_str().ok());
    completion.request_id = request_id.unwrap_or_default().to_owned();
    if !response.status().is_success() {
        let status = response.status();
        let body: Value = response.json().await.unwrap_or_default();
        completion.status = error_status(&body, &status.to_string());
        return;
    }
    let mut events = response.bytes_stream().eventsource();
    let mut last_token = started;
    while let Some(Ok(event)) = events.next().await {
        if event.data == DONE_DATA {
            completion.status = Status::Done;
            return;
        }
        if event.event == ERROR_EVENT {
            let body = serde_json::from_str(&event.data).unwrap_or_default();
            completion.status = error_status(&body, "an error without a body");
            return;
        }
        if append_event(&event, completion) {
            record_token_time(completion, started, &mut last_token);
        }
    }
}

/// Appends the text of an event; returns whether the event had any.
///
/// Entry daemons send the text in `choices`, model engines in `text`.
fn append_event(event: &Event, completion: &mut Completion) -> bool {
    let body: Value = serde_json::from_str(&event.data).unwrap_or_default();
    let choice = &body["choices"][0];
    let text = choice["text"].as_str().or(choice["delta"]["content"].as_str());
    let text = text.or(body["text"].as_str()).unwrap_or_default();
    completion.text.push_str(text);
    if !event.id.is_empty() {
        completion.last_event_id.clone_from(&event.id);
    }
    !text.is_empty()
}

/// Records the time of an event with text.
fn record_token_time(completion: &mut Completion, started: Instant, last_token: &mut Instant) {
    let now = Instant::now();
    if completion.first_token.is_none() {
        completion.first_token = Some(now - started);
    } else {
        completion.token_gaps.push(now - *last_token);
    }
    *last_token = now;
}

/// Returns the status for an error body, with `default_kind` when the body names no error kind.
fn error_status(body: &Value, default_kind: &str) -> Status {
    let error = &body["error"];
    let kind = error["kind"].as_str().unwrap_or(default_kind).to_owned();
    if error["ran"] == "no" { Status::Refused(kind) } else { Status::Failed(kind) }
}
