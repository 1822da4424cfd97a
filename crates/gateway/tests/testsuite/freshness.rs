//! How old the copies of the store are, and when a daemon asks the store again.

use std::time::Duration;

use kumquattiller_base::time::Moment;
use kumquattiller_gateway::freshness::Confirmation;
use kumquattiller_gateway::freshness::Kind;
use kumquattiller_gateway::freshness::Question;
use kumquattiller_gateway::freshness::Revision;
use kumquattiller_gateway::freshness::Table;
use proptest::prelude::prop_assert;
use proptest::proptest;

use crate::support::cases;

/// Bound of the deployments for the time until a change is in force.
const APPLY_LIMIT: Duration = Duration::from_secs(2);
/// Time that the platform allows for the answer to a request, a new connection included.
const REQUEST_TIME: Duration = Duration::from_millis(400);
const START: Moment = Moment::from_millis(10_000);

fn later(millis: u64) -> Moment {
    START + Duration::from_millis(millis)
}

/// Returns a table whose copy of the configuration has revision 7 and was confirmed at [`START`].
fn table() -> Table {
    let mut table = Table::default();
    table.confirm(Kind::Config, Revision::new(7), None, START);
    table
}

fn reported(last_change: u64, age_ms: u64) -> Confirmation {
    let last_change = Revision::new(last_change);
    Confirmation { last_change, age: Duration::from_millis(age_ms) }
}

fn age_ms(table: &Table, now: Moment) -> u128 {
    table.age(Kind::Config, now).unwrap().as_millis()
}

#[test]
fn a_copy_that_was_never_confirmed_has_no_age_and_is_overdue() {
    let table = Table::default();
    assert_eq!(table.age(Kind::Config, later(1)), None);
    assert!(table.overdue_at(Kind::Config, 3) <= later(1));
    assert_eq!(table.question(Kind::Config, 3, later(1)), Question::AT_ONCE);
}

#[test]
fn a_late_answer_does_not_make_a_copy_older() {
    let mut table = table();
    table.confirm(Kind::Config, Revision::new(8), None, later(500));
    table.confirm(Kind::Config, Revision::new(8), None, later(200));
    assert_eq!(age_ms(&table, later(600)), 100);
}

#[test]
fn a_peer_that_has_seen_no_later_change_confirms_a_copy() {
    let mut table = table();
    assert!(!table.merge(Kind::Config, reported(7, 100), later(1_000)));
    assert_eq!(age_ms(&table, later(1_000)), 100);
}

#[test]
fn a_peer_whose_copy_is_older_confirms_nothing() {
    let mut table = table();
    assert!(!table.merge(Kind::Config, reported(7, 1_100), later(1_000)));
    assert!(!table.merge(Kind::Config, reported(9, 1_100), later(1_000)));
    assert_eq!(age_ms(&table, later(1_000)), 1_000);
}

#[test]
fn a_change_that_only_a_peer_has_seen_makes_a_copy_overdue_soon() {
    let mut table = table();
    assert!(table.merge(Kind::Config, reported(8, 10), later(100)));
    assert!(!table.merge(Kind::Config, reported(8, 10), later(150)), "it is told once");
    assert_eq!(age_ms(&table, later(150)), 150, "the peer does not confirm the copy");
    assert!(table.overdue_at(Kind::Config, 1) < later(500));
    table.confirm(Kind::Config, Revision::new(8), Some(Revision::new(8)), later(300));
    assert!(table.overdue_at(Kind::Config, 1) > later(1_000));
}

#[test]
fn a_copy_grows_old_while_peers_report_to_one_another_over_slow_links() {
    let mut daemons = [table(), table()];
    let mut in_transit: Vec<(Moment, usize, Confirmation)> = Vec::new();
    for tick in 0..100 {
        let now = later(tick * 50);
        let arrived = in_transit.extract_if(.., |(at, _, _)| *at <= now).collect::<Vec<_>>();
        for (_, to, confirmation) in arrived {
            daemons[to].merge(Kind::Config, confirmation, now);
        }
        for (from, to) in [(0, 1), (1, 0)] {
            let told = daemons[from].confirmations(now).map(|(_, confirmation)| confirmation);
            in_transit.extend(told.map(|c| (now + Duration::from_millis(50), to, c)));
        }
    }
    assert!(daemons.iter().all(|daemon| age_ms(daemon, later(5_000)) >= 4_900));
}

#[test]
fn the_own_last_change_is_passed_on_with_its_age() {
    let mut table = table();
    table.confirm(Kind::Config, Revision::new(12), Some(Revision::new(9)), later(100));
    let told: Vec<_> = table.confirmations(later(300)).collect();
    assert_eq!(told, [(Kind::Config, reported(9, 200))]);
}

proptest! {
    #![proptest_config(cases(18))]

    /// However old a copy is and whatever peers report, its own question ends and the next one is
    /// answered before a change is due.
    #[test]
    fn a_quiet_watch_is_asked_again_before_a_change_is_due(
        rank in 0_usize..2_000,
        age in 0_u64..1_000,
        report in proptest::option::of((0_u64..20, 0_u64..2_000)),
    ) {
        let mut table = table();
        let now = later(age);
        if let Some((change, age)) = report {
            table.merge(Kind::Config, reported(change, age), now);
        }
        let question = table.question(Kind::Config, rank, now);
        let overdue = table.overdue_at(Kind::Config, rank);
        let own_end = now + question.wait + REQUEST_TIME;
        let end = if question.until_overdue { own_end.min(overdue) } else { own_end };
        let confirmed = now - table.age(Kind::Config, now).unwrap();
        prop_assert!(end + REQUEST_TIME <= confirmed + APPLY_LIMIT, "{question:?}");
    }
}
