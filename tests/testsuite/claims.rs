//! Non-idempotent calls: one start for each key, whatever fails.

use std::time::Duration;

use kumquattiller_claims::shard;
use kumquattiller_support::caller::Answer;
use kumquattiller_support::caller::Caller;
use kumquattiller_support::fleet::Fleet;
use kumquattiller_support::fleet::MODEL;
use kumquattiller_support::fleet::PLAIN_SERVICE;
use kumquattiller_support::wait;
use serde_json::Value;
use serde_json::json;

use crate::support::fleet;
use crate::support::until_plain_service_answers;

/// Longest wait for something that takes a few seconds.
const LIMIT: Duration = Duration::from_secs(20);

async fn start(services: usize) -> Fleet {
    let fleet = fleet().services(services).start().await;
    until_plain_service_answers(&fleet).await;
    fleet
}

fn order(street: &str) -> Value {
    json!({ "street": street })
}

async fn call(caller: &Caller, key: &str, deadline_ms: u64) -> Answer {
    let path = format!("/services/{PLAIN_SERVICE}/dispatch");
    let request = caller.request("POST", &path).json(&order(key));
    let request = request.header("Idempotency-Key", key);
    caller.send(request.header("X-Deadline-Ms", deadline_ms.to_string())).await
}

fn executions(fleet: &Fleet, key: &str) -> u64 {
    fleet.service().executions_of(&order(key).to_string())
}

/// Waits until the service has begun the call of a key.
async fn until_executed(fleet: &Fleet, key: &str) {
    wait::until("the execution", LIMIT, async || executions(fleet, key) == 1).await;
}

/// Repeats a call until its answer is not that the first call is running.
async fn until_decided(caller: &Caller, key: &str) -> Answer {
    let mut last = None;
    wait::until("the outcome of the first call", LIMIT, async || {
        let answer = call(caller, key, 3_000).await;
        let running = answer.kind() == "in_progress";
        assert!(!running || answer.ran() == "unknown", "{answer:?}");
        last = Some(answer);
        !running
    })
    .await;
    last.expect("there was an answer")
}

#[tokio::test(flavor = "multi_thread")]
async fn one_key_at_two_daemons_at_once_runs_once() {
    let fleet = start(2).await;
    let callers = [fleet.caller(0), fleet.caller(1)];
    for index in 0..10 {
        let key = format!("both-{index}");
        let (one, other) =
            tokio::join!(call(&callers[0], &key, 10_000), call(&callers[1], &key, 10_000));
        let ran: u64 = count_everywhere(&fleet, &key);
        assert_eq!(ran, 1, "{one:?} {other:?}");
        let done = [&one, &other].iter().filter(|answer| answer.status == 200).count();
        assert!(done >= 1, "{one:?} {other:?}");
        assert!([&one, &other].iter().all(|answer| answer.ran() != "no"), "{one:?} {other:?}");
    }
}

/// Counts the executions of a key on all plain services.
fn count_everywhere(fleet: &Fleet, key: &str) -> u64 {
    let body = order(key).to_string();
    let services = fleet.runners.iter().filter_map(|runner| match &runner.backend {
        kumquattiller_support::fleet::Backend::Service(server) => Some(server),
        kumquattiller_support::fleet::Backend::Engine(_) => None,
    });
    services.map(|service| service.executions_of(&body)).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_gets_the_recorded_answer_and_another_body_is_refused() {
    let fleet = start(1).await;
    let first = call(&fleet.caller(0), "k", 10_000).await;
    assert_eq!(first.status, 200, "{first:?}");
    let repeat = until_decided(&fleet.caller(1), "k").await;
    assert_eq!((repeat.status, &repeat.body), (200, &first.body));
    assert_eq!(executions(&fleet, "k"), 1);
    let body = order("elsewhere");
    let reused = fleet.caller(1).call(PLAIN_SERVICE, "POST", "/dispatch", Some("k"), &body).await;
    assert_eq!((reused.status, reused.kind()), (422, "key_reused"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_whose_entry_daemon_is_killed_runs_once_and_a_repeat_is_told_unknown() {
    let mut fleet = start(1).await;
    fleet.service().set_delay(Duration::from_millis(500));
    let caller = fleet.caller(0);
    let first = tokio::spawn(async move { call(&caller, "k", 2_000).await });
    until_executed(&fleet, "k").await;
    fleet.entries[0].program.kill().await;
    assert_eq!(first.await.expect("call ends").status, 0);
    let repeat = until_decided(&fleet.caller(1), "k").await;
    assert_eq!((repeat.kind(), repeat.ran()), ("runner_lost", "unknown"), "{repeat:?}");
    assert_eq!(executions(&fleet, "k"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_whose_runner_process_is_killed_runs_once() {
    let mut fleet = start(1).await;
    fleet.service().set_delay(Duration::from_millis(500));
    let caller = fleet.caller(0);
    let first = tokio::spawn(async move { call(&caller, "k", 10_000).await });
    until_executed(&fleet, "k").await;
    let runner = fleet.runners.len() - 1;
    fleet.runners[runner].program.kill().await;
    let binaries = fleet.binaries.clone();
    fleet.runners[runner].restart(&binaries);
    let first = first.await.expect("call ends");
    assert_eq!(first.ran(), "unknown", "{first:?}");
    let repeat = until_decided(&fleet.caller(1), "k").await;
    assert_eq!(repeat.ran(), "unknown", "{repeat:?}");
    assert_eq!(executions(&fleet, "k"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_whose_service_is_killed_runs_once() {
    let fleet = start(1).await;
    fleet.service().set_delay(Duration::from_secs(5));
    let caller = fleet.caller(0);
    let first = tokio::spawn(async move { call(&caller, "k", 10_000).await });
    until_executed(&fleet, "k").await;
    fleet.service().kill();
    let first = first.await.expect("call ends");
    assert_eq!(first.ran(), "unknown", "{first:?}");
    fleet.service().restart();
    fleet.service().set_delay(Duration::ZERO);
    let repeat = until_decided(&fleet.caller(1), "k").await;
    assert_eq!(repeat.ran(), "unknown", "{repeat:?}");
    assert_eq!(executions(&fleet, "k"), 1);
}

/// Freezes the holder of a claim past its window and returns its answer after it woke.
///
/// The store's answer to the claim's write is lost, so the holder needs a slow read before it may
/// start, and is frozen meanwhile.
async fn freeze_holder(fleet: &Fleet, key: &str) -> Answer {
    fleet.platform.set_slowness(Duration::from_millis(300));
    fleet.platform.lose_answers(1);
    let caller = fleet.caller(0);
    let sent = key.to_owned();
    let first = tokio::spawn(async move { call(&caller, &sent, 1_500).await });
    wait::until("the record", LIMIT, async || {
        let records = fleet.platform.list(shard::OBJECT_KIND).objects;
        records.iter().any(|object| object.value.to_string().contains(key))
    })
    .await;
    fleet.entries[0].program.freeze();
    fleet.platform.set_slowness(Duration::ZERO);
    for _ in 0..3 {
        let repeat = call(&fleet.caller(1), key, 1_500).await;
        assert_eq!(repeat.ran(), "unknown", "a record is never taken over: {repeat:?}");
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    fleet.entries[0].program.thaw();
    first.await.expect("call ends")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_holder_that_is_frozen_past_its_window_does_not_start() {
    let fleet = start(1).await;
    // A holder that was quick enough to start before it was frozen is tried again.
    for round in 0..5 {
        let key = format!("frozen-{round}");
        let first = freeze_holder(&fleet, &key).await;
        assert!(executions(&fleet, &key) <= 1, "{first:?}");
        if first.ran() == "no" {
            assert_eq!(executions(&fleet, &key), 0, "{first:?}");
            wait::until("the release of the record", LIMIT, async || {
                call(&fleet.caller(1), &key, 3_000).await.status == 200
            })
            .await;
            assert_eq!(executions(&fleet, &key), 1);
            return;
        }
    }
    panic!("the holder was never frozen before its start");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_outage_of_the_store_refuses_claims_and_leaves_the_rest_alone() {
    let fleet = start(1).await;
    let caller = fleet.caller(0);
    fleet.platform.set_outage(true);
    for index in 0..5 {
        let refused = call(&caller, &format!("out-{index}"), 30_000).await;
        assert_eq!((refused.status, refused.kind()), (503, "store_unavailable"), "{refused:?}");
        assert_eq!((refused.ran(), refused.retry_after.is_some()), ("no", true));
    }
    let body = Caller::completion(MODEL, "gas", 5, false);
    assert_eq!(caller.complete(&body).await.status, 200);
    let looked_up = caller.call(PLAIN_SERVICE, "GET", "/balance", None, &json!({})).await;
    assert_eq!(looked_up.status, 200, "{looked_up:?}");
    assert!((0..5).all(|index| executions(&fleet, &format!("out-{index}")) == 0));
    fleet.platform.set_outage(false);
    wait::until("claims after the outage", LIMIT, async || {
        call(&caller, "after", 10_000).await.status == 200
    })
    .await;
    assert_eq!(executions(&fleet, "after"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_the_store_neither_double_nor_lose_a_call() {
    let fleet = start(1).await;
    let callers = [fleet.caller(0), fleet.caller(1)];
    for index in 0..10 {
        let key = format!("lost-{index}");
        fleet.platform.lose_answers(1);
        let answer = call(&callers[index % 2], &key, 10_000).await;
        let count = executions(&fleet, &key);
        assert!(count <= 1, "{answer:?}");
        if answer.status == 200 {
            assert_eq!(count, 1, "{answer:?}");
        }
        if answer.ran() == "no" {
            assert_eq!(count, 0, "{answer:?}");
        }
        let repeat = until_decided(&callers[(index + 1) % 2], &key).await;
        assert_eq!((repeat.status, executions(&fleet, &key)), (200, 1), "{answer:?} {repeat:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stop_records_the_outcomes_that_wait() {
    let mut fleet = start(1).await;
    let first = call(&fleet.caller(0), "k", 30_000).await;
    assert_eq!(first.status, 200, "{first:?}");
    fleet.entries[0].program.terminate();
    assert_eq!(fleet.entries[0].program.exit_code(LIMIT).await, Some(0));
    let repeat = call(&fleet.caller(1), "k", 30_000).await;
    assert_eq!((repeat.status, &repeat.body), (200, &first.body));
    assert_eq!(executions(&fleet, "k"), 1);
}
