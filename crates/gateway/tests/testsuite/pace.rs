//! Pace of servers that differ in speed.

use std::collections::HashMap;
use std::time::Duration;

use kumquattiller_base::time::Moment;
use kumquattiller_gateway::pace::MAX_REPORTED;
use kumquattiller_gateway::pace::Measure;
use kumquattiller_gateway::pace::Table;
use test_case::test_case;

const EXPECTED: Duration = Duration::from_millis(100);

/// Records samples at server 0, slower by `factor`, and at nine others, slower by `others`.
fn measured(samples: usize, factor: f64, others: f64) -> Table {
    let mut table = Table::default();
    for _ in 0..samples {
        table.record(0, EXPECTED, EXPECTED.mul_f64(factor), Moment::ZERO);
        for server in 1..10 {
            table.record(server, EXPECTED, EXPECTED.mul_f64(others), Moment::ZERO);
        }
    }
    table
}

/// Guards against avoiding a server for one long pass, and against avoiding all servers when all of
/// them are slow.
#[test_case(1, 4.0, 1.0, 1.0..=1.6; "one sample counts little")]
#[test_case(20, 4.0, 1.0, 3.0..=4.0; "many samples")]
#[test_case(20, 4.0, 4.0, 1.0..=1.0; "all servers slow")]
#[test_case(20, 1.4, 1.0, 1.0..=1.0; "nearly equal")]
#[test_case(20, 1e9, 1.0, 5.0..=16.0; "absurdly slow")]
fn pace(samples: usize, factor: f64, others: f64, expected: std::ops::RangeInclusive<f64>) {
    let mut table = measured(samples, factor, others);
    table.update(Moment::ZERO);
    assert!(expected.contains(&table.pace(0).factor()), "{}", table.pace(0));
    assert!((table.pace(1).factor() - 1.0).abs() < f64::EPSILON);
}

#[test]
fn a_pace_is_forgotten_after_some_seconds_and_with_the_incarnation() {
    let mut table = measured(20, 4.0, 1.0);
    table.update(Moment::from_millis(15_000));
    assert!((table.pace(0).factor() - 1.0).abs() < f64::EPSILON);
    let mut table = measured(20, 4.0, 1.0);
    table.update(Moment::ZERO);
    assert!((table.pace(100).factor() - 1.0).abs() < f64::EPSILON);
}

#[test]
fn a_daemon_without_requests_learns_the_pace_from_its_peers() {
    let reports = measured(20, 4.0, 1.0).reports(Moment::ZERO);
    assert_eq!(reports.len(), 1);
    let mut peer = Table::default();
    peer.merge(&"a".parse().unwrap(), HashMap::from_iter(reports));
    peer.update(Moment::ZERO);
    assert!(peer.pace(0).factor() > 3.0, "{}", peer.pace(0));
}

#[test]
fn a_report_is_bounded() {
    let mut table = Table::default();
    for server in 0..200 {
        let factor = if server % 2 == 0 { 1.0 } else { 8.0 };
        table.record(server, EXPECTED, EXPECTED.mul_f64(factor), Moment::ZERO);
    }
    assert!(table.reports(Moment::ZERO).len() <= MAX_REPORTED);
}

#[test_case(f64::NAN, 1.0; "no number")]
#[test_case(f64::INFINITY, 1.0; "infinite")]
#[test_case(1.0, f64::NAN; "no weight")]
#[test_case(1e30, 1e30; "huge")]
#[test_case(-1e30, -1.0; "negative weight")]
fn absurd_reports_give_a_bounded_pace(log: f64, weight: f64) {
    let mut table = Table::default();
    let measure = Measure::reported(log, weight, Moment::ZERO);
    table.merge(&"a".parse().unwrap(), HashMap::from([(0, measure)]));
    table.update(Moment::ZERO);
    assert!((0.05..=20.0).contains(&table.pace(0).factor()), "{}", table.pace(0));
}
