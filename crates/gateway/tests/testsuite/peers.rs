//! The table of peers: reports, registrations, and which peers are alive.

use std::collections::BTreeSet;

use kumquattiller_base::daemon;
use kumquattiller_base::place::Zone;
use kumquattiller_base::time::Moment;
use kumquattiller_gateway::freshness::Kind;
use kumquattiller_gateway::freshness::Revision;
use kumquattiller_gateway::peer::Member;
use kumquattiller_gateway::peer::Serial;
use kumquattiller_gateway::peer::Table;

fn id(name: &str) -> daemon::Id {
    name.parse().unwrap()
}

const fn serial(incarnation: u64, sequence: u64) -> Serial {
    Serial { incarnation, sequence }
}

fn zone(name: &str) -> Zone {
    name.parse().unwrap()
}

/// Returns a daemon of a zone that passes changes on.
fn member(name: &str, number: u8, in_zone: &str) -> Member {
    let address = |port| ([10, 0, 0, number], port).into();
    Member {
        id: id(name),
        address: address(7_340),
        zone: Some(zone(in_zone)),
        changes: Some(address(7_341)),
    }
}

/// Returns a table of these registered daemons, all of which have sent a report.
fn table_of(members: &[Member]) -> Table {
    let mut table = Table::default();
    table.replace(members, &id("own"));
    for member in members {
        table.record_report(&member.id, member.address, serial(1, 1), Moment::ZERO);
    }
    table
}

fn table_after_reports(names: &[&str]) -> Table {
    let mut table = Table::default();
    for name in names {
        table.record_report(&id(name), ([10, 0, 0, 1], 7_340).into(), serial(1, 1), Moment::ZERO);
    }
    table
}

#[test]
fn an_outdated_report_is_ignored() {
    let mut table = table_after_reports(&["a"]);
    let address = ([10, 0, 0, 1], 7_340).into();
    assert!(!table.record_report(&id("a"), address, serial(1, 1), Moment::ZERO));
    assert!(table.record_report(&id("a"), address, serial(1, 2), Moment::ZERO));
    assert!(
        table.record_report(&id("a"), address, serial(2, 1), Moment::ZERO),
        "a restarted daemon begins a new sequence"
    );
}

#[test]
fn a_registered_peer_gets_reports_before_it_has_sent_any() {
    let mut table = Table::default();
    table.replace(&[member("own", 1, "z"), member("a", 2, "z")], &id("own"));
    let mut direct = |now| table.take_due(Some(&zone("z")), 1, now).direct;
    assert_eq!(direct(Moment::ZERO), [([10, 0, 0, 2], 7_340).into()]);
    assert_eq!(
        direct(Moment::from_millis(100)),
        [],
        "reports to a silent peer are sent once a second"
    );
    assert_eq!(direct(Moment::from_millis(1_000)).len(), 1);
}

#[test]
fn a_report_crosses_to_another_zone_once_and_to_a_different_daemon_each_time() {
    let members: Vec<Member> =
        (1..=6).map(|n| member(&format!("a-{n}"), n, if n <= 2 { "y" } else { "z" })).collect();
    let mut table = table_of(&members);
    let mut forwarding = BTreeSet::new();
    for sequence in 0..4 {
        let recipients = table.take_due(Some(&zone("y")), sequence, Moment::ZERO);
        assert_eq!(recipients.direct, [members[0].address, members[1].address]);
        assert_eq!(recipients.forwarding.len(), 1);
        forwarding.extend(recipients.forwarding);
    }
    assert_eq!(forwarding, members[2..].iter().map(|m| m.address).collect());
}

#[test]
fn daemons_that_cannot_forward_get_their_reports_directly() {
    let old = |n| Member { zone: None, changes: None, ..member(&format!("a-{n}"), n, "z") };
    let mut table = table_of(&[old(1), old(2), member("b", 3, "z")]);
    let recipients = table.take_due(Some(&zone("y")), 0, Moment::ZERO);
    assert_eq!(
        recipients.direct.len(),
        3,
        "the only newer daemon of its zone has no one to forward to"
    );
    let without_zone = table.take_due(None, 0, Moment::ZERO);
    assert_eq!(without_zone.direct.len(), 3);
}

#[test]
fn a_silent_daemon_of_another_zone_gets_its_reports_directly() {
    let mut table = table_of(&[member("a", 1, "z"), member("b", 2, "z")]);
    let now = Moment::from_millis(2_500);
    table.record_report(&id("a"), ([10, 0, 0, 1], 7_340).into(), serial(1, 2), now);
    let recipients = table.take_due(Some(&zone("y")), 0, now);
    assert_eq!(recipients.direct.len(), 2);
    assert_eq!(recipients.forwarding, []);
}

#[test]
fn changes_are_fetched_in_the_own_zone_if_a_daemon_there_has_them() {
    let mut table = table_of(&[member("a", 1, "y"), member("b", 2, "z"), member("c", 3, "z")]);
    let change = Revision::new(5);
    let holders =
        |table: &Table| table.holders(Kind::Servers, change, Some(&zone("z")), Moment::ZERO);
    assert_eq!(holders(&table), []);
    table.record_last_change(&id("a"), Kind::Servers, change);
    assert_eq!(holders(&table), [([10, 0, 0, 1], 7_341).into()]);
    table.record_last_change(&id("b"), Kind::Servers, Revision::new(6));
    table.record_last_change(&id("c"), Kind::Servers, Revision::new(4));
    assert_eq!(holders(&table), [([10, 0, 0, 2], 7_341).into()]);
}

#[test]
fn stopping_and_silent_daemons_are_no_sources_of_changes() {
    let mut table = table_of(&[member("a", 1, "z"), member("b", 2, "z"), member("c", 3, "y")]);
    table.set_stopping(&id("a"), true);
    let near = zone("z");
    let sources: Vec<_> = table.sources(&near, Moment::ZERO).cloned().collect();
    assert_eq!(sources, [id("b")]);
    assert_eq!(table.sources(&near, Moment::from_millis(2_500)).count(), 0);
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
