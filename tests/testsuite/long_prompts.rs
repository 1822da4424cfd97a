//! Prompts that are larger than an engine.

use std::time::Duration;

use kumquattiller_base::size::Tokens;
use kumquattiller_standins::engine;
use kumquattiller_support::caller::Caller;
use kumquattiller_support::caller::Piece;
use kumquattiller_support::fleet::Fleet;
use kumquattiller_support::fleet::MODEL;
use kumquattiller_support::wait;
use tokio::time::sleep;

use crate::support::fleet;

/// KV memory of an engine, in tokens.
const MEMORY: u64 = 100_000;
/// Tokens of a prompt over twice an engine's memory.
const PROMPT: usize = 220_000;
/// Tokens of an answer.
const ANSWER: u64 = 40;
/// Work of the engines in a time, against those of the two-year size.
const SPEED: f64 = 20.0;
/// Bound on memory that is held without an owner.
const MEMORY_LIMIT: Duration = Duration::from_secs(5);

async fn start(engines: usize) -> Fleet {
    let mut settings = engine::Settings { memory: Tokens::new(MEMORY), ..Default::default() };
    settings.timing.speed = SPEED;
    fleet().engines(engines).engine(settings).start().await
}

fn prompt(seed: &str) -> String {
    format!("case file {seed} ").repeat(PROMPT * 4 / (11 + seed.len()) + 1)[..PROMPT * 4].to_owned()
}

async fn memory_is_free(fleet: &Fleet, engines: &[usize]) {
    wait::until("free memory", MEMORY_LIMIT, async || {
        engines.iter().all(|index| fleet.engine(*index).kv_held() == 0)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_over_twice_an_engine_is_served_whole() {
    let fleet = start(4).await;
    let body = Caller::completion(MODEL, &prompt("a"), ANSWER, true);
    let mut stream = fleet.caller(0).stream(&body).await.expect("answer is streamed");
    let (text, end) = stream.rest().await;
    assert_eq!(end, Piece::Done);
    assert_eq!(text.split_whitespace().count() as u64, ANSWER);
    memory_is_free(&fleet, &[0, 1, 2, 3]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn several_such_prompts_at_once_are_all_served() {
    let fleet = start(4).await;
    let mut answers = tokio::task::JoinSet::new();
    for seed in ["a", "b", "c"] {
        for index in 0..2 {
            let caller = fleet.caller(index);
            let body = Caller::completion(MODEL, &prompt(seed), ANSWER, false);
            answers.spawn(async move { caller.complete(&body).await });
        }
    }
    for answer in answers.join_all().await {
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    memory_is_free(&fleet, &[0, 1, 2, 3]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_dies_meanwhile_leaves_nothing_held() {
    let fleet = start(4).await;
    let caller = fleet.caller(0);
    let body = Caller::completion(MODEL, &prompt("a"), ANSWER, false);
    let answer = tokio::spawn(async move { caller.complete(&body).await });
    wait::until("a held segment", Duration::from_secs(20), async || {
        (0..4).any(|index| fleet.engine(index).kv_held() > 0)
    })
    .await;
    let busy = (0..4).find(|index| fleet.engine(*index).kv_held() > 0).expect("one is busy");
    fleet.engine(busy).kill();
    let answer = answer.await.expect("caller ran");
    assert!(answer.status == 200 || answer.ran() != "no", "{answer:?}");
    let others: Vec<usize> = (0..4).filter(|index| *index != busy).collect();
    memory_is_free(&fleet, &others).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_daemon_that_dies_meanwhile_leaves_nothing_held() {
    let mut fleet = start(4).await;
    let caller = fleet.caller(0);
    let body = Caller::completion(MODEL, &prompt("a"), ANSWER, false);
    let answer = tokio::spawn(async move { caller.complete(&body).await });
    wait::until("a held segment", Duration::from_secs(20), async || {
        (0..4).any(|index| fleet.engine(index).kv_held() > 0)
    })
    .await;
    fleet.entries[0].program.kill().await;
    assert_eq!(answer.await.expect("caller ran").status, 0);
    memory_is_free(&fleet, &[0, 1, 2, 3]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_that_no_set_holds_is_refused_with_the_limit() {
    let fleet = start(2).await;
    // The daemon learns the engines' memory from their first reports.
    sleep(Duration::from_secs(1)).await;
    let body = Caller::completion(MODEL, &prompt("a"), ANSWER, false);
    let answer = fleet.caller(0).complete(&body).await;
    assert_eq!((answer.status, answer.kind(), answer.ran()), (413, "prompt_too_large", "no"));
    assert!(answer.body["error"]["message"].as_str().is_some_and(|m| m.contains("tokens")));
}
