//! A non-idempotent call runs at most once for each key, whichever processes fail.

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
use crate::support::wait_until_plain_service_answers;

/// Longest wait for a condition that normally holds within a few seconds.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

async fn start_fleet(services: usize) -> Fleet {
    let fleet = fleet().services(services).start().await;
    wait_until_plain_service_answers(&fleet).await;
    fleet
}

fn dispatch_body(street: &str) -> Value {
    json!({ "street": street })
}

async fn dispatch(caller: &Caller, key: &str, deadline_ms: u64) -> Answer {
    let path = format!("/services/{PLAIN_SERVICE}/dispatch");
    let request = caller.request("POST", &path).json(&dispatch_body(key));
    let request = request.header("Idempotency-Key", key);
    caller.send(request.header("X-Deadline-Ms", deadline_ms.to_string())).await
}

fn executions(fleet: &Fleet, key: &str) -> u64 {
    fleet.service().executions_of(&dispatch_body(key).to_string())
}

/// Waits until the service has started the call with a key.
async fn wait_until_executed(fleet: &Fleet, key: &str) {
    wait::until("the execution", WAIT_LIMIT, async || executions(fleet, key) == 1).await;
}

/// Repeats a call until its answer is no longer `in_progress`.
async fn repeat_until_decided(caller: &Caller, key: &str) -> Answer {
    let mut last = None;
    wait::until("the outcome of the first call", WAIT_LIMIT, async || {
        let answer = dispatch(caller, key, 3_000).await;
        let running = answer.kind() == "in_progress";
        assert!(!running || answer.ran() == "unknown", "{answer:?}");
        last = Some(answer);
        !running
    })
    .await;
    last.expect("there was an answer")
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_calls_with_one_key_at_two_daemons_run_once() {
    let fleet = start_fleet(2).await;
    let callers = [fleet.caller(0), fleet.caller(1)];
    for index in 0..10 {
        let key = format!("both-{index}");
        let (one, other) =
            tokio::join!(dispatch(&callers[0], &key, 10_000), dispatch(&callers[1], &key, 10_000));
        let ran: u64 = executions_on_all_services(&fleet, &key);
        assert_eq!(ran, 1, "{one:?} {other:?}");
        let done = [&one, &other].iter().filter(|answer| answer.status == 200).count();
        assert!(done >= 1, "{one:?} {other:?}");
        assert!([&one, &other].iter().all(|answer| answer.ran() != "no"), "{one:?} {other:?}");
    }
}

/// Returns how often all plain services together have executed the call with a key.
fn executions_on_all_services(fleet: &Fleet, key: &str) -> u64 {
    let body = dispatch_body(key).to_string();
    let services = fleet.runners.iter().filter_map(|runner| match &runner.backend {
        kumquattiller_support::fleet::Backend::Service(server) => Some(server),
        kumquattiller_support::fleet::Backend::Engine(_) => None,
    });
    services.map(|service| service.executions_of(&body)).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_gets_the_recorded_answer_and_another_body_is_refused() {
    let fleet = start_fleet(1).await;
    let first = dispatch(&fleet.caller(0), "k", 10_000).await;
    assert_eq!(first.status, 200, "{first:?}");
    let repeat = repeat_until_decided(&fleet.caller(1), "k").await;
    assert_eq!((repeat.status, &repeat.body), (200, &first.body));
    assert_eq!(executions(&fleet, "k"), 1);
    let body = dispatch_body("elsewhere");
    let reused = fleet.caller(1).call(PLAIN_SERVICE, "POST", "/dispatch", Some("k"), &body).await;
    assert_eq!((reused.status, reused.kind()), (422, "key_reused"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_runs_once_and_its_repeat_gets_unknown_if_the_daemon_is_killed() {
    let mut fleet = start_fleet(1).await;
    fleet.service().set_delay(Duration::from_millis(500));
    let caller = fleet.caller(0);
    let first = tokio::spawn(async move { dispatch(&caller, "k", 2_000).await });
    wait_until_executed(&fleet, "k").await;
    fleet.entries[0].program.kill().await;
    assert_eq!(first.await.expect("call ends").status, 0);
    let repeat = repeat_until_decided(&fleet.caller(1), "k").await;
    assert_eq!((repeat.kind(), repeat.ran()), ("runner_lost", "unknown"), "{repeat:?}");
    assert_eq!(executions(&fleet, "k"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_whose_runner_process_is_killed_runs_once() {
    let mut fleet = start_fleet(1).await;
    fleet.service().set_delay(Duration::from_millis(500));
    let caller = fleet.caller(0);
    let first = tokio::spawn(async move { dispatch(&caller, "k", 10_000).await });
    wait_until_executed(&fleet, "k").await;
    let runner = fleet.runners.len() - 1;
    fleet.runners[runner].program.kill().await;
    let binaries = fleet.binaries.clone();
    fleet.runners[runner].restart(&binaries);
    let first = first.await.expect("call ends");
    assert_eq!(first.ran(), "unknown", "{first:?}");
    let repeat = repeat_until_decided(&fleet.caller(1), "k").await;
    assert_eq!(repeat.ran(), "unknown", "{repeat:?}");
    assert_eq!(executions(&fleet, "k"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_whose_service_is_killed_runs_once() {
    let fleet = start_fleet(1).await;
    fleet.service().set_delay(Duration::from_secs(5));
    let caller = fleet.caller(0);
    let first = tokio::spawn(async move { dispatch(&caller, "k", 10_000).await });
    wait_until_executed(&fleet, "k").await;
    fleet.service().kill();
    let first = first.await.expect("call ends");
    assert_eq!(first.ran(), "unknown", "{first:?}");
    fleet.service().restart();
    fleet.service().set_delay(Duration::ZERO);
    let repeat = repeat_until_decided(&fleet.caller(1), "k").await;
    assert_eq!(repeat.ran(), "unknown", "{repeat:?}");
    assert_eq!(executions(&fleet, "k"), 1);
}

/// Freezes the daemon that holds a claim until it may no longer start the call, resumes it and
/// returns its answer.
///
/// The store's response to the write of the claim is lost, so the daemon has to read the record
/// back before it may start the call. The read is slow, and the daemon is frozen during it.
async fn freeze_claim_holder(fleet: &Fleet, key: &str) -> Answer {
    fleet.platform.set_slowness(Duration::from_millis(300));
    fleet.platform.lose_answers(1);
    let caller = fleet.caller(0);
    let sent = key.to_owned();
    let first = tokio::spawn(async move { dispatch(&caller, &sent, 1_500).await });
    wait::until("the record", WAIT_LIMIT, async || {
        let records = fleet.platform.list(shard::OBJECT_KIND).objects;
        records.iter().any(|object| object.value.to_string().contains(key))
    })
    .await;
    fleet.entries[0].program.freeze();
    fleet.platform.set_slowness(Duration::ZERO);
    for _ in 0..3 {
        let repeat = dispatch(&fleet.caller(1), key, 1_500).await;
        assert_eq!(repeat.ran(), "unknown", "a record is never taken over: {repeat:?}");
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    fleet.entries[0].program.thaw();
    first.await.expect("call ends")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_holder_frozen_past_its_deadline_does_not_start_the_call() {
    let fleet = start_fleet(1).await;
    // The daemon may start the call before it is frozen; the test then tries again with a new key.
    for round in 0..5 {
        let key = format!("frozen-{round}");
        let first = freeze_claim_holder(&fleet, &key).await;
        assert!(executions(&fleet, &key) <= 1, "{first:?}");
        if first.ran() == "no" {
            assert_eq!(executions(&fleet, &key), 0, "{first:?}");
            wait::until("the release of the record", WAIT_LIMIT, async || {
                dispatch(&fleet.caller(1), &key, 3_000).await.status == 200
            })
            .await;
            assert_eq!(executions(&fleet, &key), 1);
            return;
        }
    }
    panic!("the daemon started the call before it was frozen, in every round");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_outage_refuses_only_requests_that_need_a_claim() {
    let fleet = start_fleet(1).await;
    let caller = fleet.caller(0);
    fleet.platform.set_outage(true);
    for index in 0..5 {
        let refused = dispatch(&caller, &format!("out-{index}"), 30_000).await;
        assert_eq!((refused.status, refused.kind()), (503, "store_unavailable"), "{refused:?}");
        assert_eq!((refused.ran(), refused.retry_after.is_some()), ("no", true));
    }
    let body = Caller::completion(MODEL, "gas", 5, false);
    assert_eq!(caller.complete(&body).await.status, 200);
    let looked_up = caller.call(PLAIN_SERVICE, "GET", "/balance", None, &json!({})).await;
    assert_eq!(looked_up.status, 200, "{looked_up:?}");
    assert!((0..5).all(|index| executions(&fleet, &format!("out-{index}")) == 0));
    fleet.platform.set_outage(false);
    wait::until("claims after the outage", WAIT_LIMIT, async || {
        dispatch(&caller, "after", 10_000).await.status == 200
    })
    .await;
    assert_eq!(executions(&fleet, "after"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_store_responses_neither_duplicate_nor_lose_a_call() {
    let fleet = start_fleet(1).await;
    let callers = [fleet.caller(0), fleet.caller(1)];
    for index in 0..10 {
        let key = format!("lost-{index}");
        fleet.platform.lose_answers(1);
        let answer = dispatch(&callers[index % 2], &key, 10_000).await;
        let count = executions(&fleet, &key);
        assert!(count <= 1, "{answer:?}");
        if answer.status == 200 {
            assert_eq!(count, 1, "{answer:?}");
        }
        if answer.ran() == "no" {
            assert_eq!(count, 0, "{answer:?}");
        }
        let repeat = repeat_until_decided(&callers[(index + 1) % 2], &key).await;
        assert_eq!((repeat.status, executions(&fleet, &key)), (200, 1), "{answer:?} {repeat:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_daemon_records_its_pending_outcomes() {
    let mut fleet = start_fleet(1).await;
    let first = dispatch(&fleet.caller(0), "k", 30_000).await;
    assert_eq!(first.status, 200, "{first:?}");
    fleet.entries[0].program.terminate();
    assert_eq!(fleet.entries[0].program.exit_code(WAIT_LIMIT).await, Some(0));
    let repeat = dispatch(&fleet.caller(1), "k", 30_000).await;
    assert_eq!((repeat.status, &repeat.body), (200, &first.body));
    assert_eq!(executions(&fleet, "k"), 1);
}
