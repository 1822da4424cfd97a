//! What is known of cold servers, how their rates are divided, and the cost of a slow start.

use std::time::Duration;

use kumquattiller_base::runner;
use kumquattiller_base::time::Moment;
use kumquattiller_gateway::load::Load;
use kumquattiller_gateway::peer::MEMORY;
use kumquattiller_gateway::peer::Roster;
use kumquattiller_gateway::placement::Candidate;
use kumquattiller_gateway::placement::RAMP_TIME;
use kumquattiller_gateway::placement::place_plain;
use kumquattiller_gateway::placement::ramp_cost;
use kumquattiller_gateway::rate_limit::Change;
use kumquattiller_gateway::rate_limit::ColdStatement;
use kumquattiller_gateway::rate_limit::Division;
use kumquattiller_gateway::rate_limit::MAX_COLD_TIME;
use kumquattiller_gateway::rate_limit::Origin;
use kumquattiller_gateway::rate_limit::Rate;
use kumquattiller_gateway::rate_limit::Table;
use kumquattiller_gateway::rate_limit::Terms;
use kumquattiller_gateway::settings::ColdBound;
use test_case::test_case;

/// Identifies the incarnation of the server.
const START_KEY: u64 = 7;
/// How far the rate may be exceeded.
const BOUND: ColdBound = ColdBound { overshoot: 1.5, slack: 5.0 };

fn server() -> runner::Id {
    "i-0".parse().unwrap()
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn rate(per_second: f64) -> Rate {
    Rate::new(per_second).unwrap()
}

fn state(
    table: &mut Table,
    start_key: u64,
    left_ms: u64,
    age_ms: u64,
    now_ms: u64,
) -> Option<Change> {
    let (left, age) = (Duration::from_millis(left_ms), Duration::from_millis(age_ms));
    let statement = ColdStatement { left, age };
    let origin = if age_ms > 0 { Origin::Peer } else { Origin::Response };
    table.record_cold(&server(), start_key, statement, origin, at(now_ms))
}

fn update(table: &mut Table, per_second: Option<f64>, now_ms: u64) {
    let mut roster = Roster::default();
    roster.observe(std::iter::empty(), at(0));
    let terms = |_: &runner::Id| Terms {
        rate: per_second.map(rate),
        bound: BOUND,
        join_delay: Duration::ZERO,
    };
    table.update_cold_shares(&"own".parse().unwrap(), &roster, terms, at(now_ms));
}

#[test]
fn a_server_is_cold_until_the_time_that_it_stated() {
    let mut table = Table::default();
    assert_eq!(
        state(&mut table, START_KEY, 2_000, 0, 1_000),
        Some(Change::Cold(Duration::from_secs(2)))
    );
    update(&mut table, Some(10.0), 1_000);
    assert!(!table.is_open(&server(), at(1_050)));
    assert!(table.is_open(&server(), at(1_400)));
    table.take(&server(), at(1_400));
    assert!(!table.is_open(&server(), at(1_410)));
    assert!(table.is_open(&server(), at(3_000)));
    assert_eq!(table.cold_left(&server(), at(3_000)), Duration::ZERO);
    assert_eq!(table.take_cold_ends(at(3_000)), [server()]);
    assert_eq!(table.take_cold_ends(at(3_000)), []);
}

/// What is sent just after a server has become cold was placed before, without regard to its rate.
#[test]
fn nothing_is_sent_just_after_a_server_has_become_cold() {
    let mut table = Table::default();
    state(&mut table, START_KEY, 2_000, 0, 1_000);
    update(&mut table, Some(1_000.0), 1_000);
    assert!(table.is_cold_beginning(&server(), at(1_240)));
    assert!(!table.is_open(&server(), at(1_240)));
    assert!(table.is_open(&server(), at(1_250)));
}

#[test]
fn a_server_may_become_cold_again_and_begins_with_empty_shares() {
    let mut table = Table::default();
    state(&mut table, START_KEY, 500, 0, 1_000);
    update(&mut table, Some(2.0), 1_000);
    state(&mut table, START_KEY, 2_000, 0, 5_000);
    update(&mut table, Some(2.0), 5_000);
    assert!(!table.is_open(&server(), at(5_300)));
}

#[test]
fn an_older_statement_of_a_peer_changes_nothing() {
    let mut table = Table::default();
    state(&mut table, START_KEY, 5_000, 0, 1_000);
    assert_eq!(state(&mut table, START_KEY, 0, 500, 1_200), None);
    assert_eq!(state(&mut table, START_KEY, 0, 100, 1_200), Some(Change::Warm));
}

#[test_case(5_000, true; "recently")]
#[test_case(12_000, false; "long ago")]
fn a_statement_outlives_a_restart_only_if_it_was_made_recently(age_ms: u64, is_cold: bool) {
    let mut table = Table::default();
    state(&mut table, START_KEY, 60_000, 0, 1_000);
    table.restart(&server(), START_KEY + 1, at(1_000 + age_ms));
    assert_eq!(!table.cold_left(&server(), at(1_000 + age_ms)).is_zero(), is_cold);
}

#[test]
fn an_absurdly_long_cold_time_is_cut() {
    let mut table = Table::default();
    state(&mut table, START_KEY, u64::MAX / 2_000, 0, 1_000);
    assert_eq!(table.cold_left(&server(), at(1_000)), MAX_COLD_TIME);
}

/// A service without a cold rate is served as before, whatever its servers state.
#[test]
fn a_cold_server_of_a_service_without_a_cold_rate_has_no_limit() {
    let mut table = Table::default();
    state(&mut table, START_KEY, 5_000, 0, 1_000);
    update(&mut table, None, 1_000);
    assert!(table.is_open(&server(), at(1_000)));
}

#[test_case(2.0, 30.0; "the stated limit is lower")]
#[test_case(30.0, 2.0; "the cold rate is lower")]
fn the_lower_of_both_limits_binds(stated: f64, cold: f64) {
    let mut table = Table::default();
    table.record_statement(&server(), START_KEY, Some(rate(stated)), at(0), at(1_000));
    state(&mut table, START_KEY, 5_000, 0, 1_000);
    table.record_demand(&server(), at(1_000));
    let own = "own".parse().unwrap();
    table.update_shares(&own, std::iter::empty(), Duration::ZERO, at(1_000));
    update(&mut table, Some(cold), 1_000);
    assert_eq!(table.share(&server(), at(1_400)).map(Rate::per_second), Some(2.0));
    assert!(!table.is_open(&server(), at(1_400)));
    assert!(table.is_open(&server(), at(1_600)));
}

/// A restarted daemon would bring back the cold state that its peers have seen ending.
#[test]
fn only_what_a_server_stated_in_a_response_is_reported() {
    let mut table = Table::default();
    let statement = ColdStatement::now(Duration::from_secs(5));
    table.record_cold(&server(), START_KEY, statement, Origin::Registration, at(1_000));
    assert_eq!(table.reports(at(1_000)).count(), 0);
    state(&mut table, START_KEY, 8_000, 0, 2_000);
    let reported: Vec<_> = table.reports(at(2_500)).map(|report| report.cold).collect();
    let (left, age) = (Duration::from_millis(7_500), Duration::from_millis(500));
    assert_eq!(reported, [Some(ColdStatement { left, age })]);
}

/// Each daemon would report each cold server after each of its responses.
#[test]
fn a_response_that_confirms_the_registration_is_not_reported() {
    let mut table = Table::default();
    let statement = ColdStatement::now(Duration::from_secs(5));
    table.record_cold(&server(), START_KEY, statement, Origin::Registration, at(1_000));
    state(&mut table, START_KEY, 3_900, 0, 2_000);
    assert_eq!(table.reports(at(2_000)).count(), 0);
}

#[test_case(34.0, BOUND, 3, 3; "few daemons")]
#[test_case(34.0, BOUND, 23, 23; "as many daemons as the bound has room for")]
#[test_case(34.0, BOUND, 300, 47; "more daemons than the bound has room for")]
#[test_case(1.0, ColdBound { overshoot: 1.0, slack: 0.0 }, 300, 1; "one request a second")]
#[test_case(1e300, BOUND, 300, 300; "an absurd rate")]
#[test_case(8.0, ColdBound { overshoot: f64::NAN, slack: -1.0 }, 300, 6; "an absurd bound")]
fn a_rate_is_divided_within_the_bound(
    per_second: f64,
    bound: ColdBound,
    daemons: usize,
    sharers: usize,
) {
    let division = Division::of(rate(per_second), bound, daemons);
    assert_eq!(division.sharers, sharers);
    let share = division.share.unwrap().per_second();
    let in_second = sharers as f64 * (1.0 + share).floor();
    assert!(in_second <= bound.requests(rate(per_second)) as f64);
    assert!(share * sharers as f64 <= per_second * 1.001);
}

#[test]
fn a_bound_below_one_request_leaves_no_share() {
    let bound = ColdBound { overshoot: 1.0, slack: 0.0 };
    assert_eq!(Division::of(rate(0.5), bound, 3).share, None);
}

/// A daemon that is cut off goes on using its share after its registration is gone.
#[test]
fn a_daemon_that_is_no_longer_known_counts_for_a_while() {
    let mut roster = Roster::default();
    let peer = "peer".parse().unwrap();
    roster.observe(std::iter::once(&peer), at(0));
    roster.observe(std::iter::empty(), at(60_000));
    assert_eq!(roster.daemons(), 2);
    roster.observe(std::iter::empty(), at(1_000) + MEMORY);
    assert_eq!(roster.daemons(), 1);
}

#[test]
fn the_cost_of_a_slow_start_ends_and_leaves_more_slots_with_time() {
    let free_slots = |ms: u64| {
        let age = Duration::from_millis(ms);
        (0..12).filter(|requests| ramp_cost(age, *requests, 12) == 0.0).count()
    };
    assert_eq!([0, 1_250, 2_500, 5_000].map(free_slots), [0, 3, 6, 12]);
    assert_eq!(ramp_cost(RAMP_TIME, 100, 12), 0.0);
}

#[test]
fn work_for_a_fresh_server_ramps_up_instead_of_jumping() {
    let load = |requests| Load { requests, ..Load::default() };
    let busy = Candidate::new("i-0".parse().unwrap(), load(6), 12);
    let chosen = |age_ms: u64, requests: u32| {
        let cost = ramp_cost(Duration::from_millis(age_ms), requests, 12);
        let fresh = Candidate::new(server_id(1), load(requests), 12).with_ramp_cost(cost);
        place_plain(&[busy.clone(), fresh], 0.5).unwrap().server
    };
    assert_eq!(chosen(100, 0), server_id(0));
    assert_eq!(chosen(1_000, 0), server_id(1));
    assert_eq!(chosen(1_000, 3), server_id(0));
    assert_eq!(chosen(4_900, 3), server_id(1));
}

fn server_id(n: usize) -> runner::Id {
    format!("i-{n}").parse().unwrap()
}
