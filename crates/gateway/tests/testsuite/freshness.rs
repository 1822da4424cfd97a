//! How old the copies of the store are, and when a daemon asks the store again.

use std::time::Duration;

use kumquattiller_base::daemon;
use kumquattiller_base::time::Moment;
use kumquattiller_gateway::freshness::Confirmation;
use kumquattiller_gateway::freshness::Effect;
use kumquattiller_gateway::freshness::Era;
use kumquattiller_gateway::freshness::Kind;
use kumquattiller_gateway::freshness::Question;
use kumquattiller_gateway::freshness::Revision;
use kumquattiller_gateway::freshness::Role;
use kumquattiller_gateway::freshness::Source;
use kumquattiller_gateway::freshness::Table;
use kumquattiller_gateway::freshness::WATCHERS_PER_ZONE;
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
    table.confirm(Kind::Config, Revision::new(7), None, START, Source::Store);
    table
}

fn reported(last_change: u64, age_ms: u64) -> Confirmation {
    let last_change = Revision::new(last_change);
    Confirmation { last_change, revision: last_change, age: Duration::from_millis(age_ms) }
}

fn age_ms(table: &Table, now: Moment) -> u128 {
    table.age(Kind::Config, now).unwrap().as_millis()
}

#[test]
fn a_copy_that_was_never_confirmed_has_no_age_and_is_overdue() {
    let table = Table::default();
    assert_eq!(table.age(Kind::Config, later(1)), None);
    assert!(table.overdue_at(Kind::Config, 3) <= later(1));
    for role in [Role::Watcher, Role::Listener] {
        assert_eq!(table.question(Kind::Config, 3, role, later(1)), Question::AT_ONCE);
    }
}

#[test]
fn a_late_answer_does_not_make_a_copy_older() {
    let mut table = table();
    table.confirm(Kind::Config, Revision::new(8), None, later(500), Source::Store);
    table.confirm(Kind::Config, Revision::new(8), None, later(200), Source::Store);
    assert_eq!(age_ms(&table, later(600)), 100);
}

#[test]
fn a_peer_that_has_seen_no_later_change_confirms_a_copy() {
    let mut table = table();
    let effect = table.merge(Kind::Config, reported(7, 100), later(1_000));
    assert_eq!(effect, Effect::Confirmed(Duration::from_secs(1)), "it was a second old");
    assert_eq!(age_ms(&table, later(1_000)), 100);
}

#[test]
fn a_peer_whose_copy_is_older_confirms_nothing() {
    let mut table = table();
    assert_eq!(table.merge(Kind::Config, reported(7, 1_100), later(1_000)), Effect::None);
    assert_eq!(table.merge(Kind::Config, reported(9, 1_100), later(1_000)), Effect::None);
    assert_eq!(age_ms(&table, later(1_000)), 1_000);
}

#[test]
fn a_change_that_only_a_peer_has_seen_makes_a_copy_overdue_soon() {
    let mut table = table();
    assert_eq!(table.merge(Kind::Config, reported(8, 10), later(100)), Effect::Missing);
    assert_eq!(
        table.merge(Kind::Config, reported(8, 10), later(150)),
        Effect::None,
        "it is told once"
    );
    assert_eq!(age_ms(&table, later(150)), 150, "the peer does not confirm the copy");
    assert!(table.overdue_at(Kind::Config, 1) < later(500));
    let change = Revision::new(8);
    table.confirm(Kind::Config, change, Some(change), later(300), Source::Store);
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
    let change = Some(Revision::new(9));
    table.confirm(Kind::Config, Revision::new(12), change, later(100), Source::Store);
    let told: Vec<_> = table.confirmations(later(300)).collect();
    let expected = Confirmation { revision: Revision::new(12), ..reported(9, 200) };
    assert_eq!(told, [(Kind::Config, expected)]);
}

#[test]
fn what_a_peer_has_passed_on_is_not_told_to_others() {
    let mut table = Table::default();
    table.confirm(Kind::Config, Revision::new(7), None, START, Source::Peer);
    assert_eq!(age_ms(&table, later(100)), 100);
    assert_eq!(table.confirmations(later(100)).count(), 0);
}

#[test]
fn a_confirmation_extends_the_copy_to_the_revision_of_the_peer() {
    let mut table = table();
    let confirmation = Confirmation { revision: Revision::new(40), ..reported(7, 100) };
    table.merge(Kind::Config, confirmation, later(1_000));
    assert_eq!(table.revision(Kind::Config), Some(Revision::new(40)));
}

#[test]
fn a_peer_of_an_earlier_era_confirms_nothing() {
    let mut table = Table::default();
    let restored = Revision::of(Era::new(1), 3);
    table.confirm(Kind::Config, restored, None, START, Source::Store);
    let effect = table.merge(Kind::Config, reported(900, 0), later(1_000));
    assert_eq!(effect, Effect::None);
    assert_eq!(age_ms(&table, later(1_000)), 1_000);
    assert_eq!(table.revision(Kind::Config), Some(restored));
}

#[test]
fn a_peer_of_a_later_era_has_changes_that_the_copy_lacks_although_its_numbers_are_lower() {
    let mut table = table();
    let restored = Revision::of(Era::new(1), 3);
    let confirmation =
        Confirmation { last_change: restored, revision: restored, age: Duration::ZERO };
    assert_eq!(table.merge(Kind::Config, confirmation, later(100)), Effect::Missing);
    assert_eq!(table.missing(Kind::Config), Some(restored));
}

#[test]
fn a_pause_makes_all_copies_older() {
    let mut table = table();
    table.add_age(Duration::from_secs(4));
    assert_eq!(age_ms(&table, later(100)), 4_100);
    assert!(table.overdue_at(Kind::Config, 5) <= later(0));
}

#[test]
fn a_listener_does_not_ask_the_store_until_its_copy_is_overdue() {
    let mut table = table();
    let question = |table: &Table, now| table.question(Kind::Config, 9, Role::Listener, now);
    assert_eq!(question(&table, later(1_000)), Question::Listen);
    assert_eq!(question(&table, later(1_500)), Question::AT_ONCE);
    table.merge(Kind::Config, reported(8, 0), later(1_600));
    assert_eq!(question(&table, later(1_960)), Question::AT_ONCE);
}

#[test]
fn each_zone_has_as_many_watchers_as_it_should_while_daemons_leave() {
    let ids: Vec<daemon::Id> = (0..40).map(|n| format!("entry-{n}").parse().unwrap()).collect();
    for left in (1..=ids.len()).rev() {
        let alive = &ids[..left];
        let is_watcher = |own: &&daemon::Id| Role::of(own, alive) == Role::Watcher;
        let watchers = alive.iter().filter(is_watcher).count();
        assert_eq!(watchers, WATCHERS_PER_ZONE.min(left), "{left} daemons");
    }
}

#[test]
fn a_daemon_that_hears_no_other_watches_the_store() {
    assert_eq!(Role::of(&"entry-1".parse().unwrap(), []), Role::Watcher);
}

proptest! {
    #![proptest_config(cases(18))]

    /// However old a copy is and whatever peers report, its own question ends and the next one is
    /// answered before a change is due.
    #[test]
    fn a_quiet_watch_is_asked_again_before_a_change_is_due(
        rank in 0_usize..2_000,
        role in proptest::sample::select(vec![Role::Watcher, Role::Listener]),
        age in 0_u64..1_000,
        report in proptest::option::of((0_u64..20, 0_u64..2_000)),
    ) {
        let mut table = table();
        let now = later(age);
        if let Some((change, age)) = report {
            table.merge(Kind::Config, reported(change, age), now);
        }
        let question = table.question(Kind::Config, rank, role, now);
        let overdue = table.overdue_at(Kind::Config, rank);
        let end = match question {
            Question::Ask { wait, until_overdue: false } => now + wait + REQUEST_TIME,
            Question::Ask { wait, until_overdue: true } => overdue.min(now + wait + REQUEST_TIME),
            Question::Listen => overdue,
        };
        let confirmed = now - table.age(Kind::Config, now).unwrap();
        prop_assert!(end + REQUEST_TIME <= confirmed + APPLY_LIMIT, "{question:?}");
    }
}
