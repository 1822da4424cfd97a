//! Snapshots of whole sessions: what a caller sends and receives, line by line.

use std::fmt::Write;

use kumquattiller_support::caller::Caller;
use kumquattiller_support::fleet::Fleet;
use kumquattiller_support::fleet::MODEL;
use reqwest::RequestBuilder;
use serde_json::Value;

use crate::support::fleet;

/// Response headers that a record contains.
const SHOWN_HEADERS: [&str; 3] = ["content-type", "retry-after", "x-request-id"];

/// The record of a session.
#[derive(Debug, Default)]
struct Session {
    text: String,
    last_event: String,
}

impl Session {
    /// Records what the caller does next, or what happens to the fleet.
    fn record_step(&mut self, what: &str) {
        let _ = writeln!(self.text, "> {what}");
    }

    /// Sends a request and records the whole response, or its first `events` events.
    async fn send_and_record(&mut self, request: RequestBuilder, events: Option<usize>) {
        let mut response = request.send().await.expect("an answer");
        let _ = writeln!(self.text, "< {}", response.status());
        for name in SHOWN_HEADERS {
            if let Some(value) = response.headers().get(name) {
                let value = value.to_str().expect("text").to_owned();
                let _ = writeln!(self.text, "< {name}: {value}");
            }
        }
        let mut body = String::new();
        while let Ok(Some(bytes)) = response.chunk().await {
            body.push_str(&String::from_utf8_lossy(&bytes));
            if events.is_some_and(|count| body.matches("\n\n").count() >= count) {
                break;
            }
        }
        self.record_body(&body, events);
    }

    /// Records a body up to its first `events` events, or whole when `events` is `None`.
    fn record_body(&mut self, body: &str, events: Option<usize>) {
        let parts = body.split("\n\n").take(events.unwrap_or(usize::MAX));
        for part in parts.filter(|part| !part.is_empty()) {
            for line in part.lines() {
                if let Some(id) = line.strip_prefix("id: ").or(line.strip_prefix("id:")) {
                    id.trim().clone_into(&mut self.last_event);
                }
                let _ = writeln!(self.text, "< {line}");
            }
            let _ = writeln!(self.text);
        }
    }

    /// Returns the record with placeholders for ids and incarnations, which differ from run to run.
    fn finish(self) -> String {
        let mut text = self.text;
        let parts: Vec<&str> = self.last_event.split('/').collect();
        if let [runner, incarnation, request, ..] = parts.as_slice() {
            text = text.replace(incarnation, "INCARNATION").replace(request, "REQUEST");
            text = text.replace(&format!("{runner}/"), "RUNNER/");
        }
        replace_request_id(text)
    }
}

/// Replaces the request id in the body of an error: a request without events has its id only there.
fn replace_request_id(text: String) -> String {
    let field = text.lines().find_map(|line| {
        let body: Value = serde_json::from_str(line.strip_prefix("< ")?).ok()?;
        Some(body["error"]["request"].as_str()?.to_owned())
    });
    match field {
        Some(id) => text.replace(&id, "REQUEST"),
        None => text,
    }
}

fn stream(fleet: &Fleet, entry: usize, prompt: &str, max_tokens: u64) -> RequestBuilder {
    let body = Caller::completion(MODEL, prompt, max_tokens, true);
    fleet.caller(entry).request("POST", "/v1/completions").json(&body)
}

#[tokio::test(flavor = "multi_thread")]
async fn streamed() {
    let fleet = fleet().start().await;
    let mut session = Session::default();
    session.record_step("stream 3 tokens");
    session.send_and_record(stream(&fleet, 0, "gas odour near the market", 3), None).await;
    insta::assert_snapshot!(session.finish());
}

#[tokio::test(flavor = "multi_thread")]
async fn resumed_after_an_entry_daemon_dies() {
    let mut fleet = fleet().start().await;
    let mut session = Session::default();
    session.record_step("stream 5 tokens and read one event");
    session.send_and_record(stream(&fleet, 0, "gas odour near the market", 5), Some(1)).await;
    session.record_step("the entry daemon is killed");
    fleet.entries[0].program.kill().await;
    session.record_step("resume through the other entry daemon");
    let request = fleet.caller(1).request("POST", "/v1/completions");
    let last = session.last_event.clone();
    session.send_and_record(request.header("Last-Event-ID", last), None).await;
    insta::assert_snapshot!(session.finish());
}

#[tokio::test(flavor = "multi_thread")]
async fn refused() {
    let fleet = fleet().start().await;
    let mut session = Session::default();
    session.record_step("stream with a deadline that has passed");
    let request = stream(&fleet, 0, "gas odour", 3).header("X-Deadline-Ms", "0");
    session.send_and_record(request, None).await;
    session.record_step("stream with the credential of nobody");
    let nobody = Caller::new(fleet.entries[0].http, "nobody");
    let body = Caller::completion(MODEL, "gas odour", 3, true);
    session.send_and_record(nobody.request("POST", "/v1/completions").json(&body), None).await;
    session.record_step("post without an Idempotency-Key");
    let request = fleet.caller(0).request("POST", "/services/cases/dispatch").body("{}");
    session.send_and_record(request, None).await;
    insta::assert_snapshot!(session.finish());
}

#[tokio::test(flavor = "multi_thread")]
async fn failed_because_the_engine_dies() {
    let fleet = fleet().engines(1).start().await;
    let mut session = Session::default();
    session.record_step("stream 500 tokens and read one event");
    let begin = stream(&fleet, 0, "gas odour near the market", 500);
    let mut answer = begin.send().await.expect("an answer");
    let first = answer.chunk().await.expect("a stream").unwrap_or_default();
    let first = String::from_utf8_lossy(&first).into_owned();
    session.record_body(&first, Some(1));
    session.record_step("the engine is killed; the last event is");
    fleet.engine(0).kill();
    let mut body = String::new();
    while let Ok(Some(bytes)) = answer.chunk().await {
        body.push_str(&String::from_utf8_lossy(&bytes));
    }
    let last = body.trim_end().rsplit("\n\n").next().unwrap_or_default();
    session.record_body(last, None);
    insta::assert_snapshot!(session.finish());
}
