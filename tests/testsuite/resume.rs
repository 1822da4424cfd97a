//! Streams and calls that lose their engine, link or entry daemon while they run.

use std::time::Duration;

use kumquattiller_support::caller::Caller;
use kumquattiller_support::caller::Piece;
use kumquattiller_support::caller::Stream;
use kumquattiller_support::fleet::Fleet;
use kumquattiller_support::fleet::MODEL;
use kumquattiller_support::fleet::PLAIN_SERVICE;
use kumquattiller_support::wait;
use serde_json::json;

use crate::support::fleet;
use crate::support::wait_until_plain_service_answers;

const ANSWER_TOKENS: u64 = 80;
const EXECUTION_LIMIT: Duration = Duration::from_secs(20);

/// Returns the text that every engine generates for the prompt.
async fn complete_text(caller: &Caller, prompt: &str) -> String {
    caller
        .complete(&Caller::completion(MODEL, prompt, ANSWER_TOKENS, false))
        .await
        .text()
        .to_owned()
}

/// Opens a stream and reads its first piece.
async fn open_stream(caller: &Caller, prompt: &str) -> (Stream, String) {
    let body = Caller::completion(MODEL, prompt, ANSWER_TOKENS, true);
    let mut stream = caller.stream(&body).await.expect("answer is streamed");
    match stream.next().await {
        Piece::Text(text) => (stream, text),
        other => panic!("stream begins with {other:?}"),
    }
}

/// Returns the index of the first running engine that holds KV memory, and so runs a stream.
fn busy_engine(fleet: &Fleet) -> usize {
    let holds =
        |index: &usize| fleet.engine(*index).is_running() && fleet.engine(*index).kv_held() > 0;
    (0..fleet.runners.len()).find(holds).expect("an engine holds the stream")
}

fn started_streams(fleet: &Fleet) -> u64 {
    (0..fleet.runners.len()).map(|index| fleet.engine(index).started()).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_resumes_on_another_engine_with_the_same_text() {
    let fleet = fleet().engines(3).start().await;
    let expected = complete_text(&fleet.caller(0), "odour at Shaw").await;
    let (mut stream, mut text) = open_stream(&fleet.caller(0), "odour at Shaw").await;
    fleet.engine(busy_engine(&fleet)).kill();
    let (more, end) = stream.rest().await;
    text.push_str(&more);
    assert_eq!((end, text), (Piece::Done, expected));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_loses_every_engine_does_not_end_as_complete() {
    let fleet = fleet().engines(2).start().await;
    let (mut stream, _) = open_stream(&fleet.caller(0), "odour at Shaw").await;
    fleet.engine(0).kill();
    fleet.engine(1).kill();
    let (_, end) = stream.rest().await;
    assert!(matches!(end, Piece::Failed(_)), "{end:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_resumes_after_a_link_cut_without_restarting() {
    let fleet = fleet().start().await;
    let expected = complete_text(&fleet.caller(0), "odour at Shaw").await;
    let (mut stream, mut text) = open_stream(&fleet.caller(0), "odour at Shaw").await;
    let before = started_streams(&fleet);
    fleet.runners.iter().for_each(|runner| runner.relay.cut());
    let (more, end) = stream.rest().await;
    text.push_str(&more);
    assert_eq!((end, text), (Piece::Done, expected));
    assert_eq!(started_streams(&fleet), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_resumes_through_another_daemon_without_restarting() {
    let mut fleet = fleet().start().await;
    let expected = complete_text(&fleet.caller(1), "odour at Shaw").await;
    let (mut stream, mut text) = open_stream(&fleet.caller(0), "odour at Shaw").await;
    let before = started_streams(&fleet);
    fleet.entries[0].program.kill().await;
    while let Piece::Text(more) = stream.next().await {
        text.push_str(&more);
    }
    let last = stream.last_event_id().to_owned();
    let mut rest = fleet.caller(1).resume(&last).await.expect("stream is continued");
    let (more, end) = rest.rest().await;
    text.push_str(&more);
    assert_eq!((end, text), (Piece::Done, expected));
    assert_eq!(started_streams(&fleet), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_non_idempotent_call_over_a_cut_link_gets_its_answer_and_runs_once() {
    let fleet = fleet().services(1).start().await;
    wait_until_plain_service_answers(&fleet).await;
    fleet.service().set_delay(Duration::from_millis(800));
    let caller = fleet.caller(0);
    let body = json!({"street": "Shaw"});
    let sent = body.clone();
    let call = tokio::spawn(async move {
        caller.call(PLAIN_SERVICE, "POST", "/dispatch", Some("k"), &sent).await
    });
    let text = body.to_string();
    wait::until("the execution", EXECUTION_LIMIT, async || {
        fleet.service().executions_of(&text) == 1
    })
    .await;
    fleet.runners.iter().for_each(|runner| runner.relay.cut());
    let answer = call.await.expect("call ends");
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(fleet.service().executions_of(&text), 1);
}
