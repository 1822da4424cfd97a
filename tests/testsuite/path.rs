//! Requests from the caller through daemon and runner process to a backend server, and back.

use std::time::Duration;

use kumquattiller_support::caller::Caller;
use kumquattiller_support::caller::Piece;
use kumquattiller_support::fleet::MODEL;
use kumquattiller_support::fleet::PLAIN_SERVICE;
use kumquattiller_support::wait;
use serde_json::json;

use crate::support::fleet;

/// Bytes of prompt text that count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Time for which a caller is disconnected.
const DISCONNECT_TIME: Duration = Duration::from_millis(500);
/// Longest time for which an engine may hold memory without an owner.
const RELEASE_LIMIT: Duration = Duration::from_secs(5);

fn prompt(tokens: usize) -> String {
    "gas ".repeat(tokens * BYTES_PER_TOKEN / 4)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_streamed_answer_equals_the_whole_one() {
    let fleet = fleet().start().await;
    let caller = fleet.caller(0);
    let whole = caller.complete(&Caller::completion(MODEL, &prompt(1_000), 20, false)).await;
    assert_eq!(whole.status, 200, "{whole:?}");
    assert_eq!(whole.body["usage"]["completion_tokens"], 20);
    let body = Caller::completion(MODEL, &prompt(1_000), 20, true);
    let mut stream = caller.stream(&body).await.expect("answer is streamed");
    let (text, end) = stream.rest().await;
    assert_eq!(end, Piece::Done);
    assert_eq!(text, whole.text());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_resumed_through_another_entry_daemon() {
    let mut fleet = fleet().start().await;
    let body = Caller::completion(MODEL, &prompt(1_000), 60, true);
    let whole = fleet.caller(1).complete(&unstreamed_body()).await;
    let mut stream = fleet.caller(0).stream(&body).await.expect("answer is streamed");
    let Piece::Text(mut text) = stream.next().await else {
        panic!("the stream begins with text");
    };
    fleet.entries[0].program.kill().await;
    while let Piece::Text(more) = stream.next().await {
        text.push_str(&more);
    }
    let last = stream.last_event_id().to_owned();
    let mut rest = fleet.caller(1).resume(&last).await.expect("stream is continued");
    let (more, end) = rest.rest().await;
    assert_eq!(end, Piece::Done);
    assert_eq!(text + &more, whole.text());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_lost_its_connection_resumes_its_stream() {
    let fleet = fleet().start().await;
    let whole = fleet.caller(1).complete(&unstreamed_body()).await;
    let body = Caller::completion(MODEL, &prompt(1_000), 60, true);
    let mut stream = fleet.caller(0).stream(&body).await.expect("answer is streamed");
    let Piece::Text(text) = stream.next().await else {
        panic!("the stream begins with text");
    };
    let last = stream.last_event_id().to_owned();
    drop(stream);
    tokio::time::sleep(DISCONNECT_TIME).await;
    let mut rest = fleet.caller(1).resume(&last).await.expect("stream is continued");
    let (more, end) = rest.rest().await;
    assert_eq!(end, Piece::Done);
    assert_eq!(text + &more, whole.text());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_continued_answer_names_the_model_of_its_body() {
    let fleet = fleet().start().await;
    let body = Caller::completion(MODEL, &prompt(1_000), 60, true);
    let mut stream = fleet.caller(0).stream(&body).await.expect("answer is streamed");
    assert!(matches!(stream.next().await, Piece::Text(_)));
    let last = stream.last_event_id().to_owned();
    let caller = fleet.caller(1);
    let request = caller.request("POST", "/v1/completions").header("Last-Event-ID", last);
    let answer = caller.send(request.json(&body)).await;
    let events = answer.body.as_str().expect("events are text");
    let named = format!("\"model\":\"{MODEL}\"");
    let pieces = events.lines().filter(|line| line.starts_with("data: {"));
    assert!(pieces.clone().count() > 1, "{events}");
    assert!(pieces.into_iter().all(|line| line.contains(&named)), "{events}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_cancelled_when_its_caller_disconnects() {
    let fleet = fleet().engines(1).start().await;
    let body = Caller::completion(MODEL, &prompt(1_000), 2_000, true);
    let mut stream = fleet.caller(0).stream(&body).await.expect("answer is streamed");
    assert!(matches!(stream.next().await, Piece::Text(_)));
    assert!(fleet.engine(0).kv_held() > 0);
    drop(stream);
    wait::until("free memory", RELEASE_LIMIT, async || fleet.engine(0).kv_held() == 0).await;
}

/// Returns the request of the continued streams, but for an answer that is not streamed.
fn unstreamed_body() -> serde_json::Value {
    Caller::completion(MODEL, &prompt(1_000), 60, false)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_service_answers_with_its_own_status() {
    let fleet = fleet().services(1).start().await;
    let caller = fleet.caller(0);
    let body = json!({"street": "Shaw"});
    let without_key = caller.call(PLAIN_SERVICE, "POST", "/dispatch", None, &body).await;
    assert_eq!((without_key.status, without_key.kind()), (400, "missing_key"));
    let posted = caller.call(PLAIN_SERVICE, "POST", "/dispatch", Some("key-1"), &body).await;
    assert!((200..300).contains(&posted.status), "{posted:?}");
}
