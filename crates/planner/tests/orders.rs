//! Property test of fenced orders under pauses, lost responses, restarts and store outages.
//!
//! No order with an old fencing token takes effect after a newer one, and the loaded models
//! converge to the configuration.

mod world;

use std::collections::BTreeSet;
use std::time::Duration;

use kumquattiller_planner::Fencing;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

use crate::world::DAEMONS;
use crate::world::RUNNERS;
use crate::world::World;

const SEED: u64 = 3;

/// An event in the simulated system.
#[derive(Debug, Clone)]
enum Event {
    AdvanceTime { tenths: u64 },
    Plan(usize),
    ProcessAll,
    DeliverWrite(usize),
    DeliverOrder(usize),
    FinishCommand(usize),
    Pause { daemon: usize, seconds: u64 },
    LoseResponses(u8),
    Outage(bool),
    RestartExecutor(usize),
    RestartEngine(usize),
    ChangeManually(usize),
    Configure,
}

struct Reference;

impl ReferenceStateMachine for Reference {
    type State = ();
    type Transition = Event;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Event> {
        prop_oneof![
            8 => (1..40u64).prop_map(|tenths| Event::AdvanceTime { tenths }),
            3 => (0..DAEMONS).prop_map(Event::Plan),
            6 => Just(Event::ProcessAll),
            6 => (0..4usize).prop_map(Event::DeliverWrite),
            8 => (0..16usize).prop_map(Event::DeliverOrder),
            6 => (0..RUNNERS).prop_map(Event::FinishCommand),
            3 => (0..DAEMONS, 1..20u64)
                .prop_map(|(daemon, seconds)| Event::Pause { daemon, seconds }),
            2 => (1..4u8).prop_map(Event::LoseResponses),
            1 => Just(Event::Outage(true)),
            2 => Just(Event::Outage(false)),
            1 => (0..RUNNERS).prop_map(Event::RestartExecutor),
            1 => (0..RUNNERS).prop_map(Event::RestartEngine),
            1 => (0..RUNNERS).prop_map(Event::ChangeManually),
            3 => Just(Event::Configure),
        ]
        .boxed()
    }

    fn apply((): (), _: &Event) {}
}

struct Orders;

impl StateMachineTest for Orders {
    type SystemUnderTest = World;
    type Reference = Reference;

    fn init_test((): &()) -> World {
        World::new()
    }

    fn apply(mut world: World, (): &(), event: Event) -> World {
        match event {
            Event::AdvanceTime { tenths } => world.advance(Duration::from_millis(tenths * 100)),
            Event::ProcessAll => world.process_all(),
            Event::Plan(daemon) => world.plan(daemon),
            Event::DeliverWrite(index) => world.deliver_write(index),
            Event::DeliverOrder(index) => world.deliver_order(index),
            Event::FinishCommand(runner) => world.finish_command(runner),
            Event::Pause { daemon, seconds } => world.pause(daemon, Duration::from_secs(seconds)),
            Event::LoseResponses(count) => world.responses_to_lose = count,
            Event::Outage(on) => world.outage = on,
            Event::RestartExecutor(runner) => world.restart_executor(runner),
            Event::RestartEngine(runner) => world.restart_engine(runner),
            Event::ChangeManually(runner) => world.change_manually(runner),
            Event::Configure => world.configure(),
        }
        world
    }

    fn check_invariants(world: &World, (): &()) {
        let holders: BTreeSet<Fencing> = world.holders();
        assert!(holders.len() <= 1, "several daemons hold the lease: {holders:?}");
        for engine in world.engines() {
            let sorted = engine.applied.is_sorted();
            assert!(sorted, "an old order took effect after a newer one: {:?}", engine.applied);
        }
    }

    fn teardown(mut world: World, (): ()) {
        world.settle();
        for engine in world.engines() {
            assert_eq!(
                engine.state.models,
                world.desired_models(),
                "loaded models did not converge to the configuration"
            );
        }
    }
}

fn config() -> Config {
    let cases = std::env::var("KUMQUATTILLER_CASES").ok().and_then(|text| text.parse().ok());
    Config {
        cases: cases.unwrap_or(256),
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]
    #[test]
    fn older_orders_are_never_applied_after_newer_ones(sequential 1..120 => Orders);
}
