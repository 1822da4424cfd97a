//! What is known of the rate limits that servers state, from responses and from peers.

use std::time::Duration;

use kumquattiller_base::runner;
use kumquattiller_base::time::Moment;
use kumquattiller_gateway::rate_limit::Change;
use kumquattiller_gateway::rate_limit::Rate;
use kumquattiller_gateway::rate_limit::Report;
use kumquattiller_gateway::rate_limit::Statement;
use kumquattiller_gateway::rate_limit::Table;
use test_case::test_case;

/// Identifies the incarnation of the server.
const START_KEY: u64 = 7;

fn server() -> runner::Id {
    "i-0".parse().unwrap()
}

fn rate(per_second: f64) -> Rate {
    Rate::new(per_second).unwrap()
}

fn report(per_second: Option<f64>, age_ms: u64) -> Report {
    let statement = Statement { rate: per_second.map(rate), age: Duration::from_millis(age_ms) };
    Report { server: START_KEY, wanted: true, statement: Some(statement), cold: None }
}

fn merge(table: &mut Table, report: Report, now: Moment) -> Vec<(runner::Id, Change)> {
    let resolve = |key| (key == START_KEY).then(server);
    table.merge(&"peer".parse().unwrap(), &[report], resolve, now)
}

#[test]
fn a_peer_tells_of_a_limit_and_of_its_end() {
    let mut table = Table::default();
    let changes = merge(&mut table, report(Some(2.0), 0), Moment::from_millis(100));
    assert_eq!(changes, [(server(), Change::Stated(rate(2.0)))]);
    assert!(!table.is_open(&server(), Moment::from_millis(100)));
    let changes = merge(&mut table, report(None, 0), Moment::from_millis(200));
    assert_eq!(changes, [(server(), Change::Lifted)]);
    assert!(table.is_open(&server(), Moment::from_millis(200)));
}

#[test]
fn a_daemon_takes_no_share_before_it_can_have_heard_its_peers() {
    let mut table = Table::default();
    let (own, at) = ("own".parse().unwrap(), Moment::from_millis);
    merge(&mut table, report(Some(100.0), 0), at(100));
    assert!(table.record_demand(&server(), at(5_000)));
    let mut is_open_after = |ms: u64| {
        table.update_shares(&own, std::iter::empty(), Duration::from_millis(500), at(5_000 + ms));
        table.is_open(&server(), at(5_020 + ms))
    };
    assert!(!is_open_after(250));
    assert!(is_open_after(500));
}

#[test]
fn a_statement_is_not_repeated_after_a_newer_one_of_a_peer() {
    let mut table = Table::default();
    let at = Moment::from_millis;
    table.record_statement(&server(), START_KEY, Some(rate(1.0)), at(0), at(100));
    let statements = |table: &Table| {
        table.reports(at(300)).filter_map(|report| report.statement).collect::<Vec<_>>()
    };
    assert_eq!(statements(&table).len(), 1);
    merge(&mut table, report(None, 0), at(200));
    assert_eq!(statements(&table), []);
}

#[test]
fn an_absurdly_high_limit_is_shared_by_all() {
    let mut table = Table::default();
    let at = Moment::from_millis;
    table.record_statement(&server(), START_KEY, Some(rate(1e300)), at(0), at(0));
    table.record_demand(&server(), at(0));
    let peer = "peer".parse().unwrap();
    let own = "own".parse().unwrap();
    table.update_shares(&own, std::iter::once(&peer), Duration::ZERO, at(10));
    assert!(table.is_open(&server(), at(20)));
}

#[test]
fn an_older_statement_changes_nothing() {
    let mut table = Table::default();
    merge(&mut table, report(Some(2.0), 0), Moment::from_millis(1_000));
    assert_eq!(merge(&mut table, report(None, 500), Moment::from_millis(1_100)), []);
    assert_eq!(table.rate(&server()), Some(rate(2.0)));
}

#[test]
fn a_response_to_an_earlier_request_lifts_no_limit() {
    let mut table = Table::default();
    let at = Moment::from_millis;
    table.record_statement(&server(), START_KEY, Some(rate(1.0)), at(0), at(100));
    assert_eq!(table.record_statement(&server(), START_KEY, None, at(50), at(200)), None);
    assert_eq!(
        table.record_statement(&server(), START_KEY, None, at(150), at(200)),
        Some(Change::Lifted)
    );
}

#[test]
fn a_restarted_server_has_no_limit() {
    let mut table = Table::default();
    let at = Moment::from_millis;
    table.record_statement(&server(), START_KEY, Some(rate(1.0)), at(0), at(100));
    table.restart(&server(), START_KEY, at(11_000));
    assert_eq!(table.rate(&server()), Some(rate(1.0)), "the same incarnation");
    table.restart(&server(), START_KEY + 1, at(11_000));
    assert_eq!(table.rate(&server()), None);
}

#[test]
fn a_limit_just_stated_outlasts_the_late_registration_of_a_restart() {
    let mut table = Table::default();
    let at = Moment::from_millis;
    table.record_statement(&server(), START_KEY, Some(rate(1.0)), at(0), at(100));
    table.restart(&server(), START_KEY + 1, at(1_100));
    assert_eq!(table.rate(&server()), Some(rate(1.0)));
}

#[test]
fn the_limit_of_a_server_whose_registration_is_gone_is_kept_for_a_while() {
    let mut table = Table::default();
    let at = Moment::from_millis;
    table.record_statement(&server(), START_KEY, Some(rate(1.0)), at(0), at(100));
    table.expire(at(10_000), |_| false);
    assert_eq!(table.rate(&server()), Some(rate(1.0)));
    table.expire(at(40_000), |_| false);
    assert_eq!(table.rate(&server()), None);
}

#[test_case("1.6", Some(1.6))]
#[test_case(" 2 requests/s", Some(2.0); "as it is displayed")]
#[test_case("0", Some(0.1); "a server without any request could not state the end")]
#[test_case("-1", None)]
#[test_case("inf", None)]
#[test_case("NaN", None)]
#[test_case("soon", None)]
fn a_rate_is_a_number_that_is_not_negative(text: &str, expected: Option<f64>) {
    assert_eq!(text.parse::<Rate>().ok().map(Rate::per_second), expected);
}
