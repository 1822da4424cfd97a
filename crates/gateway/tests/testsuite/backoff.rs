//! Pauses that servers ask for, and renewals of reservations in them.

use std::time::Duration;

use kumquattiller_base::runner;
use kumquattiller_base::time::Moment;
use kumquattiller_gateway::backoff::Table;
use kumquattiller_gateway::reservation::renewal;
use test_case::test_case;

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
fn a_pause_of_no_time_neither_begins_nor_ends() {
    let mut table = Table::default();
    assert_eq!(table.ask(&server(), START_KEY, Duration::ZERO, Moment::ZERO), None);
    assert!(table.expire(Moment::from_millis(1)).is_empty());
}

#[test]
fn a_pause_lasts_five_minutes_at_most() {
    let mut table = Table::default();
    let granted = table.ask(&server(), START_KEY, Duration::from_secs(100_000), Moment::ZERO);
    assert_eq!(granted, Some(Duration::from_secs(300)));
}

#[test]
fn only_a_restart_of_the_server_ends_its_pause_early() {
    let pause = Duration::from_secs(60);
    let mut table = Table::default();
    table.ask(&server(), START_KEY, pause, Moment::ZERO);
    let later = Moment::from_millis(11_000);
    table.restart(&server(), START_KEY, later);
    assert_eq!(table.left(&server(), later), Duration::from_secs(49));
    table.restart(&server(), START_KEY + 1, later);
    assert_eq!(table.left(&server(), later), Duration::ZERO);
}

#[test]
fn a_pause_just_asked_for_outlasts_the_late_registration_of_a_restart() {
    let mut table = paused();
    let later = Moment::from_millis(1_000);
    table.restart(&server(), START_KEY + 1, later);
    assert_eq!(table.left(&server(), later), Duration::from_secs(2));
}

#[test]
fn two_calls_are_allowed_in_a_pause_and_all_outside_it() {
    let mut table = paused();
    let now = Moment::from_millis(1_000);
    assert!(table.allow_call(&server(), now));
    assert!(table.allow_call(&server(), now));
    assert!(!table.allow_call(&server(), now));
    table.ask(&server(), START_KEY, PAUSE, now);
    assert!(!table.allow_call(&server(), now), "the earlier pause is not over");
    let later = Moment::from_millis(4_000);
    assert!(table.allow_call(&server(), later));
    table.ask(&server(), START_KEY, PAUSE, later);
    assert!(table.allow_call(&server(), later), "a pause of its own");
}

#[test_case(2_600, 0, false, None; "not due yet")]
#[test_case(2_500, 0, false, Some(3_500); "a second after the last renewal")]
#[test_case(2_500, 0, true, None; "later at a server that limits its rate")]
#[test_case(1_500, 0, true, Some(3_500); "two seconds after the last renewal")]
#[test_case(2_900, 3_000, false, Some(4_000); "it would expire in the pause")]
#[test_case(4_000, 3_000, false, None; "it lasts beyond the pause")]
#[test_case(3_000, 100_000, false, Some(20_000); "no longer than servers grant")]
fn a_reservation_is_renewed(left_ms: u64, pause_ms: u64, limited: bool, expected_ms: Option<u64>) {
    let (left, pause) = (Duration::from_millis(left_ms), Duration::from_millis(pause_ms));
    assert_eq!(renewal::due(left, pause, limited), expected_ms.map(Duration::from_millis));
}
