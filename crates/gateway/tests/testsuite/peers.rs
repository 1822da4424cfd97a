//! The table of peers: reports, registrations, and which peers are alive.

use kumquattiller_base::daemon;
use kumquattiller_base::time::Moment;
use kumquattiller_gateway::peer::Table;

fn id(name: &str) -> daemon::Id {
    name.parse().unwrap()
}

fn table_after_reports(names: &[&str]) -> Table {
    let mut table = Table::default();
    for name in names {
        table.record_report(&id(name), ([10, 0, 0, 1], 7_340).into(), 1, 1, Moment::ZERO);
    }
    table
}

#[test]
fn an_outdated_report_is_ignored() {
    let mut table = table_after_reports(&["a"]);
    let address = ([10, 0, 0, 1], 7_340).into();
    assert!(!table.record_report(&id("a"), address, 1, 1, Moment::ZERO));
    assert!(table.record_report(&id("a"), address, 1, 2, Moment::ZERO));
    assert!(
        table.record_report(&id("a"), address, 2, 1, Moment::ZERO),
        "a restarted daemon begins a new sequence"
    );
}

#[test]
fn a_registered_peer_gets_reports_before_it_has_sent_any() {
    let mut table = Table::default();
    let all = [(id("own"), ([10, 0, 0, 1], 1).into()), (id("a"), ([10, 0, 0, 2], 1).into())];
    table.register(&all, &id("own"), true);
    assert_eq!(table.take_due(Moment::ZERO), [([10, 0, 0, 2], 1).into()]);
    assert_eq!(
        table.take_due(Moment::from_millis(100)),
        [],
        "reports to a silent peer are sent once a second"
    );
    assert_eq!(table.take_due(Moment::from_millis(1_000)).len(), 1);
}

/// Guards against refusals without a retry delay while all daemons are stopping: on amoy-hotline
/// callers used up their retries before the first daemon was back.
#[test]
fn stopping_peers_do_not_count_as_serving() {
    let mut table = table_after_reports(&["a", "b"]);
    table.set_stopping(&id("a"), true);
    assert!(table.is_any_serving(Moment::ZERO));
    table.set_stopping(&id("b"), true);
    assert!(!table.is_any_serving(Moment::ZERO));
}

#[test]
fn a_silent_peer_does_not_count_as_serving() {
    let table = table_after_reports(&["a"]);
    assert!(table.is_any_serving(Moment::from_millis(1_900)));
    assert!(!table.is_any_serving(Moment::from_millis(2_100)));
}

#[test]
fn the_rank_of_a_daemon_counts_the_living_peers_before_it() {
    let table = table_after_reports(&["a", "b", "d"]);
    assert_eq!(table.rank(&id("c"), Moment::from_millis(1_900)), 2);
    assert_eq!(table.rank(&id("a"), Moment::from_millis(1_900)), 0);
    assert_eq!(table.rank(&id("c"), Moment::from_millis(2_100)), 0);
}
