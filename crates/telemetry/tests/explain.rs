//! Tests that the history of decisions stays within its limits and keeps the newest requests.

use std::time::Duration;

use kumquattiller_base::request;
use kumquattiller_base::time::Moment;
use kumquattiller_telemetry::explain::History;
use kumquattiller_telemetry::explain::Limit;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

/// Seed of the property tests.
const SEED: u64 = 23;
/// Number of cases when `KUMQUATTILLER_CASES` is not set.
const DEFAULT_CASES: u32 = 128;

const LIMIT: Limit =
    Limit { requests: 4, lines: 3, line_bytes: 40, retention: Duration::from_secs(10) };

fn config() -> Config {
    let cases = std::env::var("KUMQUATTILLER_CASES").ok().and_then(|count| count.parse().ok());
    Config {
        cases: cases.unwrap_or(DEFAULT_CASES),
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    }
}

const fn id(number: u128) -> request::Id {
    request::Id::from_u128(number)
}

#[test]
fn lines_carry_the_time_since_the_first() {
    let mut history = History::new(LIMIT);
    history.record(Moment::from_millis(1_000), id(1), "admitted");
    history.record(Moment::from_millis(1_250), id(1), "sent to runner a");
    let lines = history.lines(Moment::from_millis(1_300), id(1));
    assert_eq!(lines, ["+0.000 s admitted", "+0.250 s sent to runner a"]);
}

#[test]
fn lines_over_the_limit_are_counted() {
    let mut history = History::new(LIMIT);
    for _ in 0..5 {
        history.record(Moment::ZERO, id(1), "again");
    }
    let lines = history.lines(Moment::ZERO, id(1));
    assert_eq!(lines.last().map(String::as_str), Some("2 more decisions are not kept"));
}

#[test]
fn requests_are_dropped_after_the_retention_time() {
    let mut history = History::new(LIMIT);
    history.record(Moment::ZERO, id(1), "admitted");
    assert!(history.lines(Moment::from_millis(10_001), id(1)).is_empty());
    history.record(Moment::from_millis(10_001), id(2), "admitted");
    assert_eq!(history.len(), 1);
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn history_stays_within_its_limits(decisions in prop::collection::vec((0u128..9, 0u64..4_000, "\\PC{0,60}"), 0..60)) {
        let mut history = History::new(LIMIT);
        let mut now = Moment::ZERO;
        for (request, wait_ms, text) in decisions {
            now = now + Duration::from_millis(wait_ms);
            history.record(now, id(request), &text);
            prop_assert!(history.len() <= LIMIT.requests);
            let lines = history.lines(now, id(request));
            prop_assert!(!lines.is_empty() && lines.len() <= LIMIT.lines + 1);
            prop_assert!(lines.iter().all(|line| line.len() <= LIMIT.line_bytes));
        }
    }
}
