//! What a daemon knows of the others.

use kumquattiller_base::daemon;
use kumquattiller_base::time::Moment;
use kumquattiller_gateway::peer::Table;

fn id(name: &str) -> daemon::Id {
    name.parse().unwrap()
}

fn heard(names: &[&str]) -> Table {
    let mut table = Table::default();
    for name in names {
        table.hear(&id(name), ([10, 0, 0, 1], 7_340).into(), 1, 1, Moment::ZERO);
    }
    table
}

#[test]
fn a_late_datagram_changes_nothing() {
    let mut table = heard(&["a"]);
    let address = ([10, 0, 0, 1], 7_340).into();
    assert!(!table.hear(&id("a"), address, 1, 1, Moment::ZERO));
    assert!(table.hear(&id("a"), address, 1, 2, Moment::ZERO));
    assert!(table.hear(&id("a"), address, 2, 1, Moment::ZERO), "a new start counts anew");
}

#[test]
fn a_registered_daemon_is_told_before_it_is_heard() {
    let mut table = Table::default();
    let all = [(id("own"), ([10, 0, 0, 1], 1).into()), (id("a"), ([10, 0, 0, 2], 1).into())];
    table.register(&all, &id("own"), true);
    assert_eq!(table.due(Moment::ZERO), [([10, 0, 0, 2], 1).into()]);
    assert_eq!(table.due(Moment::from_millis(100)), [], "a silent one is told once a second");
    assert_eq!(table.due(Moment::from_millis(1_000)).len(), 1);
}

/// Found by an incident on amoy-hotline: callers were sent back at once while all daemons were
/// stopping, and had no try left when the first one was back.
#[test]
fn peers_that_stop_take_no_requests() {
    let mut table = heard(&["a", "b"]);
    table.set_stopping(&id("a"), true);
    assert!(table.is_any_serving(Moment::ZERO));
    table.set_stopping(&id("b"), true);
    assert!(!table.is_any_serving(Moment::ZERO));
}

#[test]
fn a_silent_peer_takes_no_requests() {
    let table = heard(&["a"]);
    assert!(table.is_any_serving(Moment::from_millis(1_900)));
    assert!(!table.is_any_serving(Moment::from_millis(2_100)));
}
