//! Tests of the retry budget and the backoff of idempotent requests.

use std::time::Duration;

use kumquattiller_base::deadline::Deadline;
use kumquattiller_base::time::Moment;
use kumquattiller_recovery::retry::Budget;
use kumquattiller_recovery::retry::Decision;
use kumquattiller_recovery::retry::MAX_RUNNERS;
use kumquattiller_recovery::retry::Plan;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const REQUESTS: u64 = 10_000;

fn deadline() -> Deadline {
    Deadline::after(Moment::ZERO, Duration::from_secs(30))
}

/// Sends all requests and returns the number of attempts made.
///
/// Attempts at a request for which `succeeds` returns false are all lost.
fn attempts(succeeds: impl Fn(u64) -> bool) -> u64 {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut budget = Budget::default();
    let mut attempts = 0;
    for request in 0..REQUESTS {
        let mut plan = Plan::default();
        loop {
            attempts += 1;
            if succeeds(request) {
                budget.deposit();
                break;
            }
            let decision = plan.after_loss(Moment::ZERO, deadline(), &mut budget, &mut rng);
            if !matches!(decision, Decision::Retry { .. }) {
                break;
            }
        }
    }
    attempts
}

#[test]
fn retries_do_not_multiply_a_full_outage() {
    assert_eq!(attempts(|_| false), REQUESTS + Budget::LIMIT);
}

#[test]
fn retries_are_at_most_a_tenth_of_the_successes_and_the_limit() {
    let successes = REQUESTS / 2;
    let made = attempts(|request| request % 2 == 0);
    assert!(made <= REQUESTS + successes / 10 + Budget::LIMIT, "{made} attempts");
    assert!(made >= REQUESTS + successes / 10 - Budget::LIMIT, "{made} attempts");
}

#[test]
fn a_request_is_tried_on_a_few_runners_only() {
    let mut plan = Plan::default();
    for _ in 1..MAX_RUNNERS {
        let decision = plan.after_refusal(Moment::ZERO, deadline());
        assert_eq!(decision, Decision::Retry { after: Duration::ZERO });
    }
    assert_eq!(plan.after_refusal(Moment::ZERO, deadline()), Decision::TriedEnough);
}

#[test]
fn no_retry_is_made_past_the_deadline() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut budget = Budget::default();
    let late = Moment::from_millis(30_000);
    let decision = Plan::default().after_loss(late, deadline(), &mut budget, &mut rng);
    assert_eq!(decision, Decision::OutOfTime);
}

#[test]
fn backoffs_spread_from_zero_to_their_limit() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut pauses = Vec::new();
    for _ in 0..1_000 {
        let mut budget = Budget::default();
        match Plan::default().after_loss(Moment::ZERO, deadline(), &mut budget, &mut rng) {
            Decision::Retry { after } => pauses.push(after),
            other => panic!("{other}"),
        }
    }
    pauses.sort_unstable();
    assert!(pauses[100] < Duration::from_millis(4), "{:?}", pauses[100]);
    assert!(pauses[900] > Duration::from_millis(16), "{:?}", pauses[900]);
    assert!(pauses[999] <= Duration::from_millis(20), "{:?}", pauses[999]);
}
