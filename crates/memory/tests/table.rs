//! Tests of the table of owners.

use std::collections::BTreeMap;
use std::time::Duration;

use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;
use kumquattiller_memory::Action;
use kumquattiller_memory::Daemon;
use kumquattiller_memory::Item;
use kumquattiller_memory::Limits;
use kumquattiller_memory::Observation;
use kumquattiller_memory::Owner;
use kumquattiller_memory::Refusal;
use kumquattiller_memory::Table;
use kumquattiller_memory::reservation;
use test_case::test_case;

fn daemon() -> Daemon {
    Daemon { id: "entry-1".parse().expect("valid name"), incarnation: 1.into() }
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn table() -> Table {
    Table::new(Limits::new(Tokens::new(1_000)), at(0))
}

fn stream(name: &str) -> Item {
    Item::Stream(name.into())
}

fn handle(name: &str) -> Item {
    Item::Handle(name.into())
}

fn observation(asked: Moment, items: &[Item]) -> Observation {
    let items: BTreeMap<_, _> = items.iter().map(|i| (i.clone(), Tokens::new(10))).collect();
    Observation { asked, items }
}

#[test_case(600, 400, Ok(()); "fits exactly")]
#[test_case(600, 401, Err(Refusal::Full); "one token too many")]
fn admission_counts_reservations(reserved: u64, asked: u64, expected: Result<(), Refusal>) {
    let mut table = table();
    let id = reservation::Id::new(1);
    let ttl = Duration::from_secs(10);
    table.reserve(id, &daemon(), Tokens::new(reserved), ttl, at(0)).expect("there is room");
    let owner = Owner::Daemon(daemon());
    assert_eq!(table.admit(stream("a"), owner, Tokens::new(asked), false, at(0)), expected);
}

#[test]
fn closed_stream_counts_until_the_engine_confirms() {
    let mut table = table();
    let owner = Owner::Daemon(daemon());
    table.admit(stream("a"), owner, Tokens::new(900), false, at(0)).expect("there is room");
    table.release_item(&stream("a"), at(10));
    assert_eq!(table.committed(), Tokens::new(900));
    assert_eq!(table.tick(at(10)), [Action::CancelStream("a".into())]);
    assert_eq!(table.tick(at(20)), []);
    assert_eq!(table.tick(at(510)), [Action::CancelStream("a".into())]);
    table.confirm_released(&stream("a"));
    assert_eq!(table.committed(), Tokens::ZERO);
}

#[test]
fn streams_of_an_earlier_runner_process_wait_for_a_claim() {
    let mut table = table();
    table.observe(&observation(at(100), &[stream("a"), stream("b")]), at(110));
    assert_eq!(table.tick(at(110)), []);
    table.claim(&stream("a"), &daemon(), at(1_000)).expect("claimable");
    assert_eq!(table.tick(at(2_000)), [Action::CancelStream("b".into())]);
    assert_eq!(table.claim(&stream("b"), &daemon(), at(2_001)), Err(Refusal::UnknownItem));
}

#[test]
fn handle_whose_prefill_response_is_in_flight_is_kept() {
    let mut table = table();
    let owner = Owner::Daemon(daemon());
    table.admit(stream("p"), owner, Tokens::new(10), true, at(5_000)).expect("there is room");
    table.observe(&observation(at(5_100), &[handle("h")]), at(5_110));
    assert_eq!(table.tick(at(5_110)), []);
    table
        .convert_prefill(&stream("p"), handle("h"), Tokens::new(10), at(5_200))
        .expect("the prefill has an owner");
    assert_eq!(table.tick(at(5_300)), []);
    assert!(table.owned_items().contains(&handle("h")));
}

#[test]
fn expired_reservation_frees_what_it_covers() {
    let mut table = table();
    let id = reservation::Id::new(1);
    table
        .reserve(id, &daemon(), Tokens::new(500), Duration::from_secs(1), at(0))
        .expect("there is room");
    let owner = Owner::Reservation(id);
    table
        .admit(stream("p"), owner, Tokens::new(500), true, at(0))
        .expect("the reservation covers it");
    table
        .convert_prefill(&stream("p"), handle("h"), Tokens::new(500), at(10))
        .expect("the prefill has an owner");
    assert_eq!(table.tick(at(1_000)), [Action::DeleteHandle("h".into())]);
    table.observe(&observation(at(1_100), &[]), at(1_110));
    assert_eq!(table.committed(), Tokens::ZERO);
}
