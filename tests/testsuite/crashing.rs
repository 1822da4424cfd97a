//! Requests that crash every engine that runs them.

use kumquattiller_standins::engine;
use kumquattiller_support::caller::Caller;
use kumquattiller_support::caller::Piece;
use kumquattiller_support::fleet::Fleet;
use kumquattiller_support::fleet::MODEL;
use serde_json::Value;

use crate::support::fleet;

const CRASH_MARKER: &str = "ends-the-engine";
const ENGINES: usize = 5;
const OTHER_REQUESTS: usize = 8;
const ANSWER_TOKENS: u64 = 60;

async fn start_fleet() -> Fleet {
    let engine = engine::Settings {
        crash_marker: Some(CRASH_MARKER.to_owned()),
        ..engine::Settings::default()
    };
    fleet().engines(ENGINES).engine(engine).start().await
}

fn lost_engines(fleet: &Fleet) -> usize {
    (0..ENGINES).filter(|index| !fleet.engine(*index).is_running()).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crashing_request_repeated_at_both_daemons_crashes_only_two_engines() {
    let fleet = start_fleet().await;
    let body = Caller::completion(MODEL, CRASH_MARKER, 10, false);
    for round in 0..4 {
        let answer = fleet.caller(round % 2).complete(&body).await;
        assert_eq!(answer.kind(), "crashes_backends", "{answer:?}");
        assert!(answer.retry_after.is_some(), "{answer:?}");
        assert_eq!(answer.ran(), if round == 0 { "unknown" } else { "no" }, "{answer:?}");
    }
    assert_eq!(lost_engines(&fleet), 2);
    let other = Caller::completion(MODEL, "odour at Shaw", 10, false);
    assert_eq!(fleet.caller(0).complete(&other).await.status, 200);
}

/// Requests that share an engine with a crashing request move to other engines and complete.
#[tokio::test(flavor = "multi_thread")]
async fn other_requests_on_a_crashed_engine_complete_elsewhere() {
    let fleet = start_fleet().await;
    let mut streams = Vec::new();
    for index in 0..OTHER_REQUESTS {
        let caller = fleet.caller(index % 2);
        let prompt = format!("odour at street {index}");
        let whole =
            caller.complete(&Caller::completion(MODEL, &prompt, ANSWER_TOKENS, false)).await;
        let stream = caller.stream(&Caller::completion(MODEL, &prompt, ANSWER_TOKENS, true)).await;
        streams.push((stream.expect("answer is streamed"), whole.text().to_owned()));
    }
    let body = Caller::completion(MODEL, CRASH_MARKER, 10, false);
    let callers = [fleet.caller(0), fleet.caller(1)];
    let crashing = tokio::spawn(async move {
        for round in 0..4 {
            callers[round % 2].complete(&body).await;
        }
    });
    for (index, (mut stream, whole)) in streams.into_iter().enumerate() {
        let (text, end) = stream.rest().await;
        assert_eq!((end, text), (Piece::Done, whole), "request {index}");
    }
    crashing.await.expect("the crashing request ends");
    assert!(lost_engines(&fleet) <= 2, "{} engines lost", lost_engines(&fleet));
}

/// Returns whether a stored document has a record of a request that is known to crash engines.
fn is_confirmed(document: &Value) -> bool {
    let records = document["records"].as_object().into_iter().flat_map(|records| records.values());
    let mut confirmations = records.filter_map(|record| record["confirmations"].as_array());
    confirmations.any(|deaths| !deaths.is_empty())
}

/// A restarted daemon reads from the store which requests have crashed engines.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_daemon_reads_known_crashing_requests_from_the_store() {
    let mut fleet = start_fleet().await;
    let body = Caller::completion(MODEL, CRASH_MARKER, 10, false);
    fleet.caller(0).complete(&body).await;
    assert_eq!(lost_engines(&fleet), 2);
    kumquattiller_support::wait::until(
        "the record in the store",
        std::time::Duration::from_secs(10),
        async || fleet.platform.list("suspects").objects.iter().any(|o| is_confirmed(&o.value)),
    )
    .await;
    for entry in &mut fleet.entries {
        entry.program.kill().await;
        entry.restart(&fleet.binaries);
    }
    fleet.wait_until_ready().await;
    let answer = fleet.caller(1).complete(&body).await;
    assert_eq!((answer.kind(), answer.ran()), ("crashes_backends", "no"), "{answer:?}");
    assert_eq!(lost_engines(&fleet), 2);
}
