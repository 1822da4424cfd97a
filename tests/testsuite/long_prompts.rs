//! Prompts that need more KV memory than one engine has, and are held by several engines.

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

/// KV memory of each engine, in tokens.
const ENGINE_MEMORY_TOKENS: u64 = 100_000;
/// Length of a prompt, in tokens; more than twice the memory of an engine.
const PROMPT_TOKENS: usize = 220_000;
/// Length of an answer, in tokens.
const ANSWER_TOKENS: u64 = 40;
/// Speed of the engines relative to those of the two-year capacity target.
const ENGINE_SPEED: f64 = 20.0;
/// Longest time for which engines may hold memory without an owner.
const RELEASE_LIMIT: Duration = Duration::from_secs(5);

async fn start_fleet(engines: usize) -> Fleet {
    let mut settings =
        engine::Settings { memory: Tokens::new(ENGINE_MEMORY_TOKENS), ..Default::default() };
    settings.timing.speed = ENGINE_SPEED;
    fleet().engines(engines).engine(settings).start().await
}

fn prompt(seed: &str) -> String {
    format!("case file {seed} ").repeat(PROMPT_TOKENS * 4 / (11 + seed.len()) + 1)
        [..PROMPT_TOKENS * 4]
        .to_owned()
}

async fn wait_until_memory_is_free(fleet: &Fleet, engines: &[usize]) {
    wait::until("free memory", RELEASE_LIMIT, async || {
        engines.iter().all(|index| fleet.engine(*index).kv_held() == 0)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_of_more_than_twice_the_memory_of_an_engine_is_served() {
    let fleet = start_fleet(4).await;
    let body = Caller::completion(MODEL, &prompt("a"), ANSWER_TOKENS, true);
    let mut stream = fleet.caller(0).stream(&body).await.expect("answer is streamed");
    let (text, end) = stream.rest().await;
    assert_eq!(end, Piece::Done);
    assert_eq!(text.split_whitespace().count() as u64, ANSWER_TOKENS);
    wait_until_memory_is_free(&fleet, &[0, 1, 2, 3]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_prompts_larger_than_an_engine_are_all_served() {
    let fleet = start_fleet(4).await;
    let mut answers = tokio::task::JoinSet::new();
    for seed in ["a", "b", "c"] {
        for index in 0..2 {
            let caller = fleet.caller(index);
            let body = Caller::completion(MODEL, &prompt(seed), ANSWER_TOKENS, false);
            answers.spawn(async move { caller.complete(&body).await });
        }
    }
    for answer in answers.join_all().await {
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    wait_until_memory_is_free(&fleet, &[0, 1, 2, 3]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_dies_meanwhile_leaves_nothing_held() {
    let fleet = start_fleet(4).await;
    let caller = fleet.caller(0);
    let body = Caller::completion(MODEL, &prompt("a"), ANSWER_TOKENS, false);
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
    wait_until_memory_is_free(&fleet, &others).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn memory_is_released_when_the_entry_daemon_dies_during_a_request() {
    let mut fleet = start_fleet(4).await;
    let caller = fleet.caller(0);
    let body = Caller::completion(MODEL, &prompt("a"), ANSWER_TOKENS, false);
    let answer = tokio::spawn(async move { caller.complete(&body).await });
    wait::until("a held segment", Duration::from_secs(20), async || {
        (0..4).any(|index| fleet.engine(index).kv_held() > 0)
    })
    .await;
    fleet.entries[0].program.kill().await;
    assert_eq!(answer.await.expect("caller ran").status, 0);
    wait_until_memory_is_free(&fleet, &[0, 1, 2, 3]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_too_large_for_all_engines_is_refused_with_the_limit() {
    let fleet = start_fleet(2).await;
    // The daemon learns the memory of the engines from their first reports.
    sleep(Duration::from_secs(1)).await;
    let body = Caller::completion(MODEL, &prompt("a"), ANSWER_TOKENS, false);
    let answer = fleet.caller(0).complete(&body).await;
    assert_eq!((answer.status, answer.kind(), answer.ran()), (413, "prompt_too_large", "no"));
    assert!(answer.body["error"]["message"].as_str().is_some_and(|m| m.contains("tokens")));
}
