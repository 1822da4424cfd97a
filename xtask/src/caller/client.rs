use std::time::Duration;
use std::time::Instant;

use eventsource_stream::Event;
use eventsource_stream::Eventsource;
use futures::StreamExt;
use reqwest::RequestBuilder;
use reqwest::Response;
use serde_json::Value;
use serde_json::json;

use crate::caller::Answer;
use crate::caller::Ended;

/// Data of the event after a whole answer.
const DONE: &str = "[DONE]";
/// Type of the event that ends an answer which is not whole.
const ERROR_EVENT: &str = "error";

/// A caller with a credential.
#[derive(Debug, Clone)]
pub struct Caller {
    http: reqwest::Client,
    credential: String,
}

impl Caller {
    /// Makes a caller.
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
    ) -> Answer {
        let body = json!({
            "model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": true
        });
        let request = self
            .http
            .post(format!("{url}/v1/completions"))
            .bearer_auth(&self.credential)
            .header("X-Deadline-Ms", deadline.as_millis().to_string())
            .json(&body);
        stream(request).await
    }

    /// Streams a completion directly from a model engine at `url`.
    pub async fn complete_on_engine(
        &self,
        url: &str,
        id: &str,
        model: &str,
        prompt: &str,
        max_tokens: u64,
    ) -> Answer {
        let tokens = prompt.len().div_ceil(4);
        let body = json!({
            "request": id, "model": model, "prompt": prompt, "prompt_tokens": tokens,
            "max_tokens": max_tokens
        });
        stream(self.http.post(format!("{url}/v1/completions")).json(&body)).await
    }

    /// Calls a plain service; returns the status, the body and the time.
    pub async fn call(
        &self,
        url: &str,
        path: &str,
        key: &str,
        body: &Value,
    ) -> Result<(u16, String, Duration), reqwest::Error> {
        let begin = Instant::now();
        let response = self
            .http
            .post(format!("{url}{path}"))
            .bearer_auth(&self.credential)
            .header("Idempotency-Key", key)
            .json(body)
            .send()
            .await?;
        let status = response.status().as_u16();
        Ok((status, response.text().await?, begin.elapsed()))
    }
}

/// Sends a request and reads its events.
async fn stream(request: RequestBuilder) -> Answer {
    let begin = Instant::now();
    let mut answer = Answer {
        request: String::new(),
        last_event: String::new(),
        text: String::new(),
        first_token: None,
        gaps: Vec::new(),
        total: Duration::ZERO,
        ended: Ended::Failed("the connection ended".to_owned()),
    };
    match request.send().await {
        Ok(response) => read(response, &mut answer, begin).await,
        Err(error) => answer.ended = Ended::Failed(error.to_string()),
    }
    answer.total = begin.elapsed();
    answer
}

/// Reads the events of a response.
async fn read(response: Response, answer: &mut Answer, begin: Instant) {
    let id = response.headers().get("X-Request-Id").and_then(|v| v.to_str().ok());
    answer.request = id.unwrap_or_default().to_owned();
    if !response.status().is_success() {
        let status = response.status();
        let body: Value = response.json().await.unwrap_or_default();
        answer.ended = ended(&body, &status.to_string());
        return;
    }
    let mut events = response.bytes_stream().eventsource();
    let mut last = begin;
    while let Some(Ok(event)) = events.next().await {
        if event.data == DONE {
            answer.ended = Ended::Done;
            return;
        }
        if event.event == ERROR_EVENT {
            let body = serde_json::from_str(&event.data).unwrap_or_default();
            answer.ended = ended(&body, "an error without a body");
            return;
        }
        if take(&event, answer) {
            note_time(answer, begin, &mut last);
        }
    }
}

/// Takes the text of an event; returns whether there was any.
fn take(event: &Event, answer: &mut Answer) -> bool {
    let body: Value = serde_json::from_str(&event.data).unwrap_or_default();
    let choice = &body["choices"][0];
    let text = choice["text"].as_str().or(choice["delta"]["content"].as_str());
    let text = text.or(body["text"].as_str()).unwrap_or_default();
    answer.text.push_str(text);
    if !event.id.is_empty() {
        answer.last_event.clone_from(&event.id);
    }
    !text.is_empty()
}

/// Notes the time of a piece.
fn note_time(answer: &mut Answer, begin: Instant, last: &mut Instant) {
    let now = Instant::now();
    if answer.first_token.is_none() {
        answer.first_token = Some(now - begin);
    } else {
        answer.gaps.push(now - *last);
    }
    *last = now;
}

/// Reads an error body.
fn ended(body: &Value, otherwise: &str) -> Ended {
    let error = &body["error"];
    let kind = error["kind"].as_str().unwrap_or(otherwise).to_owned();
    if error["ran"] == "no" { Ended::Refused(kind) } else { Ended::Failed(kind) }
}
