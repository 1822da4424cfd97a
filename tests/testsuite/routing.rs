//! Routing, admission and limits, through the real programs.

use kumquattiller_standins::engine;
use kumquattiller_support::caller::Caller;
use kumquattiller_support::fleet::MODEL;
use serde_json::json;

use crate::support::fleet;

fn prompt(tokens: usize) -> String {
    "odor".repeat(tokens)
}

#[tokio::test(flavor = "multi_thread")]
async fn an_account_over_its_rate_limit_gets_a_retry_delay() {
    let rules = json!({"accounts": [{"account": "hotline", "tokens_per_second": 2_000}]});
    let fleet = fleet().rules(rules).start().await;
    let caller = fleet.caller(0);
    let body = Caller::completion(MODEL, &prompt(1_000), 20, false);
    let mut refused = None;
    for _ in 0..20 {
        let answer = caller.complete(&body).await;
        if answer.status != 200 {
            refused = Some(answer);
            break;
        }
    }
    let refused = refused.expect("20 requests of 1,020 tokens exceed 2,000 tokens a second");
    assert_eq!((refused.status, refused.kind(), refused.ran()), (429, "rate_limited", "no"));
    assert!(refused.retry_after.is_some_and(|seconds| seconds >= 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_short_request_does_not_wait_behind_a_long_one() {
    let timing = engine::Timing { speed: 5.0, ..engine::Timing::default() };
    let settings = engine::Settings { timing, ..engine::Settings::default() };
    let fleet = fleet().engine(settings).engines(1).start().await;
    let caller = fleet.caller(0);
    let long = Caller::completion(MODEL, &prompt(300_000), 5, false);
    let short = Caller::completion(MODEL, &prompt(500), 5, false);
    let other = fleet.caller(0);
    let mut long = tokio::spawn(async move { other.complete(&long).await });
    for _ in 0..5 {
        tokio::select! {
            biased;
            answer = caller.complete(&short) => assert_eq!(answer.status, 200, "{answer:?}"),
            _ = &mut long => panic!("the long answer came before five short ones"),
        }
    }
    let answer = long.await.expect("the call ends");
    assert_eq!(answer.status, 200, "{answer:?}");
}
