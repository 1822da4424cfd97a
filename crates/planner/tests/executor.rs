//! Tests of the executor of an engine.

use kumquattiller_dialect::engine::Command;
use kumquattiller_dialect::engine::Model;
use kumquattiller_dialect::engine::State;
use kumquattiller_planner::Fencing;
use kumquattiller_planner::executor::Executor;
use kumquattiller_planner::executor::Number;
use kumquattiller_planner::executor::Order;
use kumquattiller_planner::executor::Refusal;
use kumquattiller_planner::plan::Target;
use test_case::test_case;

fn model() -> Model {
    Model { name: "writing".to_owned(), version: "2".to_owned() }
}

fn order(fencing: u64, sequence: u64) -> Order {
    let target = Target { models: [model()].into(), ..Target::default() };
    Order { number: Number { fencing: Fencing::new(fencing), sequence }, target }
}

/// Returns an executor that has read a lease with this fencing token.
fn executor(lease: u64) -> Executor {
    let mut executor = Executor::new();
    executor.confirm_lease(Fencing::new(lease));
    executor
}

#[test_case(4, 9, Err(Refusal::Old { highest: Fencing::new(5) }); "lease before")]
#[test_case(5, 1, Ok(()); "same lease")]
#[test_case(6, 1, Ok(()); "lease after")]
fn orders_are_accepted_by_fencing_token(
    fencing: u64,
    sequence: u64,
    expected: Result<(), Refusal>,
) {
    assert_eq!(executor(5).accept(order(fencing, sequence)), expected);
}

#[test]
fn no_order_is_accepted_before_the_lease_was_read() {
    let mut executor = Executor::new();
    assert_eq!(executor.accept(order(9, 1)), Err(Refusal::Unconfirmed));
    assert_eq!(executor.reconcile(&State::default()).order, None);
}

#[test]
fn manual_change_is_reported_and_reverted() {
    let mut executor = executor(1);
    executor.accept(order(1, 1)).expect("accepted order");
    let first = executor.reconcile(&State::default());
    assert!(!first.drifted);
    executor.command_finished();
    let met = State { models: vec![model()], ..State::default() };
    assert_eq!(executor.reconcile(&met).order, None);
    let drift = executor.reconcile(&State::default());
    assert!(drift.drifted);
    let command = drift.order.expect("command").command;
    assert_eq!(command, Command::LoadModel(model()));
}

#[test]
fn engine_that_saw_a_newer_lease_ends_the_older_order() {
    let mut executor = executor(1);
    executor.accept(order(1, 1)).expect("accepted order");
    executor.reconcile(&State::default()).order.expect("command");
    executor.command_superseded(Fencing::new(7));
    assert_eq!(executor.reconcile(&State::default()).order, None);
    let expected = Refusal::Old { highest: Fencing::new(7) };
    assert_eq!(executor.accept(order(1, 2)), Err(expected));
}
