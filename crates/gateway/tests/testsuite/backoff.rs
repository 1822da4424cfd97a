//! Pauses that servers ask for.

use std::time::Duration;

use kumquattiller_base::runner;
use kumquattiller_base::time::Moment;
use kumquattiller_gateway::backoff::Table;

/// Identifies the incarnation of the server.
const START_KEY: u64 = 7;
/// A pause.
const PAUSE: Duration = Duration::from_secs(3);

fn server() -> runner::Id {
    "i-0".parse().unwrap()
}

/// Returns a table in which the server has asked for a pause at the origin.
fn paused() -> Table {
    let mut table = Table::default();
    assert_eq!(table.ask(&server(), START_KEY, PAUSE, Moment::ZERO), Some(PAUSE));
    table
}

#[test]
fn a_pause_ends_after_its_time() {
    let mut table = paused();
    assert_eq!(table.left(&server(), Moment::from_millis(1_000)), Duration::from_secs(2));
    assert!(table.expire(Moment::from_millis(2_999)).is_empty());
    assert_eq!(table.expire(Moment::from_millis(3_000)), [server()]);
    assert_eq!(table.left(&server(), Moment::from_millis(3_000)), Duration::ZERO);
}

#[test]
fn a_shorter_pause_does_not_end_a_longer_one() {
    let mut table = paused();
    let now = Moment::from_millis(1_000);
    assert_eq!(table.ask(&server(), START_KEY, Duration::from_secs(1), now), None);
    assert_eq!(table.left(&server(), now), Duration::from_secs(2));
}

#[test]
fn a_pause_lasts_five_minutes_at_most() {
    let mut table = Table::default();
    let granted = table.ask(&server(), START_KEY, Duration::from_secs(100_000), Moment::ZERO);
    assert_eq!(granted, Some(Duration::from_secs(300)));
}

#[test]
fn only_a_restart_of_the_server_ends_its_pause_early() {
    let mut table = paused();
    table.reset(&server(), START_KEY);
    assert_eq!(table.left(&server(), Moment::ZERO), PAUSE);
    table.reset(&server(), START_KEY + 1);
    assert_eq!(table.left(&server(), Moment::ZERO), Duration::ZERO);
}
