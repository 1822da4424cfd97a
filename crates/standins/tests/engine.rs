//! Tests of the engine stand-in over HTTP.

use std::time::Duration;

use kumquattiller_base::size::Tokens;
use kumquattiller_dialect::engine::Completion;
use kumquattiller_dialect::engine::Error;
use kumquattiller_dialect::engine::Event;
use kumquattiller_dialect::engine::Handle;
use kumquattiller_dialect::engine::Prefill;
use kumquattiller_standins::engine::Server;
use kumquattiller_standins::engine::Settings;
use kumquattiller_standins::engine::Text;
use serde::Serialize;
use test_case::test_case;

fn fast_settings() -> Settings {
    let mut settings = Settings::default();
    settings.timing.speed = 100.0;
    settings
}

fn completion(request: &str, prompt_tokens: u64, max_tokens: u64) -> Completion {
    Completion {
        request: request.to_owned(),
        model: "any".to_owned(),
        prompt: format!("prompt of {request}"),
        prompt_tokens,
        max_tokens,
        ..Completion::default()
    }
}

async fn post(server: &Server, path: &str, body: &impl Serialize) -> reqwest::Response {
    let url = format!("{}{path}", server.url());
    reqwest::Client::new().post(url).json(body).send().await.expect("the engine answers")
}

/// Runs a completion to its end, deletes its stream and returns the body.
async fn read_and_delete(server: &Server, completion: &Completion) -> String {
    let answer = post(server, "/v1/completions", completion).await;
    let body = answer.text().await.expect("a body");
    let url = format!("{}/v1/streams/{}", server.url(), completion.request);
    reqwest::Client::new().delete(&url).send().await.expect("an answer");
    body
}

/// Returns the events of a stream and whether `[DONE]` ended it.
fn events(body: &str) -> (Vec<Event>, bool) {
    let data = body.lines().filter_map(|line| line.strip_prefix("data:")).map(str::trim);
    let events = data.filter(|text| *text != "[DONE]");
    let events = events.map(|text| serde_json::from_str(text).expect("a valid event")).collect();
    (events, body.contains("[DONE]"))
}

#[tokio::test]
async fn answer_is_whole_and_resumes_at_an_offset() {
    let server = Server::start(fast_settings());
    let completion = completion("a", 1_000, 40);
    let body = post(&server, "/v1/completions", &completion).await.text().await.expect("a body");
    let (whole, done) = events(&body);
    let text: String = whole.iter().map(|event| event.text.as_str()).collect();
    assert!(done);
    assert_eq!(text, Text::of(&completion).range(0, 40));

    let url = format!("{}/v1/streams/a?offset=25", server.url());
    let body = reqwest::get(&url).await.expect("an answer").text().await.expect("a body");
    let (rest, done) = events(&body);
    assert!(done);
    assert_eq!(rest[0].offset, 25);
    assert_eq!(rest[0].text, Text::of(&completion).range(25, 40));
    assert_eq!((server.started(), server.kv_held()), (1, 1_040));

    let url = format!("{}/v1/streams/a", server.url());
    reqwest::Client::new().delete(&url).send().await.expect("an answer");
    assert_eq!(server.kv_held(), 0);
}

#[test_case(300, 400, "memory_full"; "whole job over capacity")]
#[test_case(2_000, 10, "memory_full"; "prompt over capacity")]
#[tokio::test]
async fn full_memory_refuses(prompt_tokens: u64, max_tokens: u64, kind: &str) {
    let server = Server::start(Settings { memory: Tokens::new(600), ..fast_settings() });
    let answer =
        post(&server, "/v1/completions", &completion("a", prompt_tokens, max_tokens)).await;
    assert_eq!(answer.status().as_u16(), 503);
    let error: Error = answer.json().await.expect("an error body");
    assert_eq!(error.kind, kind);
}

#[tokio::test]
async fn preempted_streams_still_complete() {
    let server = Server::start(Settings { memory: Tokens::new(400), ..fast_settings() });
    let first = completion("a", 150, 200);
    let second = completion("b", 150, 200);
    let (a, b) = tokio::join!(read_and_delete(&server, &first), read_and_delete(&server, &second));
    for (body, completion) in [(a, first), (b, second)] {
        let (whole, done) = events(&body);
        let text: String = whole.iter().map(|event| event.text.as_str()).collect();
        assert!(done);
        assert_eq!(text, Text::of(&completion).range(0, 200));
    }
}

#[tokio::test]
async fn segments_on_other_engines_use_no_local_memory() {
    let small = || Settings { memory: Tokens::new(1_200), ..fast_settings() };
    let (first, second) = (Server::start(small()), Server::start(small()));
    let prefill = Prefill {
        request: "segment".to_owned(),
        model: "any".to_owned(),
        prompt_tokens: 1_000,
        ..Prefill::default()
    };
    let handle: Handle =
        post(&first, "/v1/prefill", &prefill).await.json().await.expect("a handle");
    let path = format!("/v1/kv/{}/export", handle.handle);
    let handle: Handle = post(&first, &path, &()).await.json().await.expect("a handle");
    let completion = Completion { context: vec![handle], ..completion("a", 1_000, 10) };
    let answer = post(&second, "/v1/completions", &completion).await;
    let (whole, done) = events(&answer.text().await.expect("a body"));
    let text: String = whole.iter().map(|event| event.text.as_str()).collect();
    assert!(done);
    assert_eq!(text, Text::of(&completion).range(0, 10));
    assert_eq!((first.kv_held(), second.kv_held()), (1_000, 1_010));
}

#[tokio::test]
async fn crash_marker_kills_the_engine_and_drops_its_state() {
    let settings = Settings {
        crash_marker: Some("BOOM".to_owned()),
        restart_after: Some(Duration::from_millis(10)),
        ..fast_settings()
    };
    let server = Server::start(settings);
    let mut other_stream = post(&server, "/v1/completions", &completion("a", 10, 1_000_000)).await;
    let crashing = Completion { prompt: "x BOOM".to_owned(), ..completion("b", 10, 10) };
    let url = format!("{}/v1/completions", server.url());
    let answer = reqwest::Client::new().post(url).json(&crashing).send().await;
    if let Ok(answer) = answer {
        answer.text().await.expect_err("the connection is cut");
    }
    while let Ok(Some(_)) = other_stream.chunk().await {}
    while server.incarnation() == 1 || !server.is_running() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(server.state().incarnation, 2);
    assert_eq!(server.kv_held(), 0);
}
