//! Property: no order of an old fencing number takes effect after a newer one, and what is loaded
//! converges to what is wanted.

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

/// What happens to the world.
#[derive(Debug, Clone)]
enum Event {
    Pass { tenths: u64 },
    Plan(usize),
    Work,
    DeliverWrite(usize),
    DeliverOrder(usize),
    EngineAnswers(usize),
    Pause { daemon: usize, seconds: u64 },
    LoseAnswers(u8),
    Outage(bool),
    RestartExecutor(usize),
    RestartEngine(usize),
    ChangeByHand(usize),
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
            8 => (1..40u64).prop_map(|tenths| Event::Pass { tenths }),
            3 => (0..DAEMONS).prop_map(Event::Plan),
            6 => Just(Event::Work),
            6 => (0..4usize).prop_map(Event::DeliverWrite),
            8 => (0..16usize).prop_map(Event::DeliverOrder),
            6 => (0..RUNNERS).prop_map(Event::EngineAnswers),
            3 => (0..DAEMONS, 1..20u64)
                .prop_map(|(daemon, seconds)| Event::Pause { daemon, seconds }),
            2 => (1..4u8).prop_map(Event::LoseAnswers),
            1 => Just(Event::Outage(true)),
            2 => Just(Event::Outage(false)),
            1 => (0..RUNNERS).prop_map(Event::RestartExecutor),
            1 => (0..RUNNERS).prop_map(Event::RestartEngine),
            1 => (0..RUNNERS).prop_map(Event::ChangeByHand),
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
            Event::Pass { tenths } => world.pass(Duration::from_millis(tenths * 100)),
            Event::Work => world.work(),
            Event::Plan(daemon) => world.plan(daemon),
            Event::DeliverWrite(index) => world.deliver_write(index),
            Event::DeliverOrder(index) => world.deliver_order(index),
            Event::EngineAnswers(runner) => world.engine_answers(runner),
            Event::Pause { daemon, seconds } => world.pause(daemon, Duration::from_secs(seconds)),
            Event::LoseAnswers(count) => world.lost_answers = count,
            Event::Outage(on) => world.outage = on,
            Event::RestartExecutor(runner) => world.restart_executor(runner),
            Event::RestartEngine(runner) => world.restart_engine(runner),
            Event::ChangeByHand(runner) => world.change_by_hand(runner),
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
            assert_eq!(engine.state.models, world.wanted(), "what is loaded did not converge");
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
    fn old_orders_never_follow_newer_ones(sequential 1..120 => Orders);
}
