//! Property test: within five seconds of the last fault, the engine holds exactly the items that
//! have an owner in the table.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;
use kumquattiller_memory::Action;
use kumquattiller_memory::Daemon;
use kumquattiller_memory::Item;
use kumquattiller_memory::Limits;
use kumquattiller_memory::Observation;
use kumquattiller_memory::Owner;
use kumquattiller_memory::Table;
use kumquattiller_memory::reservation;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

const DAEMONS: usize = 3;
const CAPACITY: Tokens = Tokens::new(1_000);
const STEP: Duration = Duration::from_millis(250);
const STEPS_PER_OBSERVATION: u64 = 4;
const SETTLE_STEPS: u64 = 20;
const SEED: u64 = 20;

/// A transition of the system.
#[derive(Debug, Clone)]
enum Event {
    /// A linked daemon starts a stream.
    Open { daemon: usize, tokens: u64 },
    /// A linked daemon makes a reservation.
    Reserve { daemon: usize, tokens: u64, ttl_ms: u64 },
    /// A prefill starts under a reservation, counted from the latest one.
    Prefill { reservation: usize, tokens: u64 },
    /// The oldest prefill ends; its response may be lost.
    EndPrefill { response_lost: bool },
    /// The owner of an item no longer needs it.
    Cancel { index: usize },
    /// A stream starts on the engine after its cancellation was confirmed.
    LateStart { tokens: u64 },
    /// A daemon fails and restarts.
    DaemonDies(usize),
    /// A daemon loses its link to the runner process.
    LinkCut(usize),
    /// A daemon's link to the runner process is restored.
    LinkBack(usize),
    /// The runner process restarts with an empty table.
    RunnerRestarts,
    /// The engine restarts without any items.
    EngineRestarts,
    /// The next responses of the engine, up to this number, are lost.
    LoseResponses(u8),
    /// Steps of time pass.
    Pass(u8),
}

struct Reference;

impl ReferenceStateMachine for Reference {
    type State = ();
    type Transition = Event;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Event> {
        let daemon = 0..DAEMONS;
        prop_oneof![
            5 => (0..DAEMONS, 1..400u64).prop_map(|(daemon, tokens)| Event::Open { daemon, tokens }),
            3 => (0..DAEMONS, 1..400u64, 500..9_000u64)
                .prop_map(|(daemon, tokens, ttl_ms)| Event::Reserve { daemon, tokens, ttl_ms }),
            3 => (0..4usize, 1..200u64)
                .prop_map(|(reservation, tokens)| Event::Prefill { reservation, tokens }),
            3 => any::<bool>().prop_map(|response_lost| Event::EndPrefill { response_lost }),
            2 => (0..8usize).prop_map(|index| Event::Cancel { index }),
            1 => (1..400u64).prop_map(|tokens| Event::LateStart { tokens }),
            1 => daemon.clone().prop_map(Event::DaemonDies),
            1 => daemon.clone().prop_map(Event::LinkCut),
            2 => daemon.prop_map(Event::LinkBack),
            1 => Just(Event::RunnerRestarts),
            1 => Just(Event::EngineRestarts),
            1 => (1..6u8).prop_map(Event::LoseResponses),
            4 => (1..12u8).prop_map(Event::Pass),
        ]
        .boxed()
    }

    fn apply((): (), _: &Event) {}
}

/// A table with a model of its engine and of the entry daemons.
struct System {
    now: Moment,
    steps: u64,
    table: Table,
    engine: BTreeMap<Item, Tokens>,
    prefills: Vec<Item>,
    /// Each daemon with whether its link is up.
    daemons: Vec<(Daemon, bool)>,
    reservations: Vec<reservation::Id>,
    name_count: u64,
    lost_responses: u8,
}

impl System {
    fn new() -> Self {
        Self {
            now: Moment::ZERO,
            steps: 0,
            table: Table::new(Limits::new(CAPACITY), Moment::ZERO),
            engine: BTreeMap::new(),
            prefills: Vec::new(),
            daemons: (0..DAEMONS).map(|n| (daemon(n, 1), true)).collect(),
            reservations: Vec::new(),
            name_count: 0,
            lost_responses: 0,
        }
    }

    fn new_name(&mut self, kind: &str) -> String {
        self.name_count += 1;
        format!("{kind}-{}", self.name_count)
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        self.steps += 1;
        for (daemon, linked) in &self.daemons {
            if *linked {
                self.table.renew_daemon(daemon, self.now);
            }
        }
        if self.steps.is_multiple_of(STEPS_PER_OBSERVATION) {
            let asked = self.now - Duration::from_millis(1);
            let observation = Observation { asked, items: self.engine.clone() };
            self.table.observe(&observation, self.now);
        }
        for action in self.table.tick(self.now) {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        let item = match action {
            Action::CancelStream(name) => Item::Stream(name),
            Action::DeleteHandle(name) => Item::Handle(name),
        };
        self.engine.remove(&item);
        self.prefills.retain(|prefill| *prefill != item);
        if self.lost_responses > 0 {
            self.lost_responses -= 1;
        } else {
            self.table.confirm_released(&item);
        }
    }

    fn open(&mut self, owner: Owner, tokens: u64, prefill: bool) {
        let item = Item::Stream(self.new_name("s").into());
        let tokens = Tokens::new(tokens);
        if self.table.admit(item.clone(), owner, tokens, prefill, self.now).is_ok() {
            self.engine.insert(item.clone(), tokens);
            if prefill {
                self.prefills.push(item);
            }
        }
    }

    fn reserve(&mut self, daemon: usize, tokens: u64, ttl_ms: u64) {
        let (daemon, linked) = self.daemons[daemon].clone();
        self.name_count += 1;
        let id = reservation::Id::new(self.name_count);
        let ttl = Duration::from_millis(ttl_ms);
        let tokens = Tokens::new(tokens);
        if linked && self.table.reserve(id, &daemon, tokens, ttl, self.now).is_ok() {
            self.reservations.push(id);
        }
    }

    fn end_prefill(&mut self, response_lost: bool) {
        if self.prefills.is_empty() {
            return;
        }
        let prefill = self.prefills.remove(0);
        let Some(tokens) = self.engine.remove(&prefill) else { return };
        let handle = Item::Handle(self.new_name("h").into());
        self.engine.insert(handle.clone(), tokens);
        if response_lost {
            self.table.release_item(&prefill, self.now);
        } else {
            // An error means that the prefill has lost its owner; the table then frees the handle.
            let _ = self.table.convert_prefill(&prefill, handle, tokens, self.now);
        }
    }

    fn settle(&mut self) {
        self.lost_responses = 0;
        while !self.prefills.is_empty() {
            self.end_prefill(false);
        }
        for _ in 0..SETTLE_STEPS {
            self.step();
        }
    }
}

fn daemon(number: usize, incarnation: u64) -> Daemon {
    let id = format!("entry-{number}").parse().expect("valid name");
    Daemon { id, incarnation: incarnation.into() }
}

struct Memory;

impl StateMachineTest for Memory {
    type SystemUnderTest = System;
    type Reference = Reference;

    fn init_test((): &()) -> System {
        System::new()
    }

    fn apply(mut system: System, (): &(), event: Event) -> System {
        let now = system.now;
        match event {
            Event::Open { daemon, tokens } => {
                let (daemon, linked) = system.daemons[daemon].clone();
                if linked {
                    system.open(Owner::Daemon(daemon), tokens, false);
                }
            }
            Event::Reserve { daemon, tokens, ttl_ms } => system.reserve(daemon, tokens, ttl_ms),
            Event::Prefill { reservation, tokens } => {
                if let Some(id) = system.reservations.iter().rev().nth(reservation).copied() {
                    system.open(Owner::Reservation(id), tokens, true);
                }
            }
            Event::EndPrefill { response_lost } => system.end_prefill(response_lost),
            Event::Cancel { index } => {
                if let Some(item) = system.table.owned_items().into_iter().nth(index) {
                    system.table.release_item(&item, now);
                }
            }
            Event::LateStart { tokens } => {
                // The start reaches the engine after its cancellation was confirmed.
                let item = Item::Stream(system.new_name("late").into());
                system.engine.insert(item, Tokens::new(tokens));
            }
            Event::DaemonDies(n) => {
                let incarnation = system.daemons[n].0.incarnation.get() + 1;
                system.daemons[n] = (daemon(n, incarnation), true);
            }
            Event::LinkCut(n) => system.daemons[n].1 = false,
            Event::LinkBack(n) => system.daemons[n].1 = true,
            Event::RunnerRestarts => {
                system.table = Table::new(Limits::new(CAPACITY), now);
                system.reservations.clear();
                // The responses of running prefills are lost with the old process.
                system.prefills.clear();
            }
            Event::EngineRestarts => {
                system.engine.clear();
                system.prefills.clear();
                system.table.engine_restarted();
            }
            Event::LoseResponses(count) => system.lost_responses = count,
            Event::Pass(steps) => (0..steps).for_each(|_| system.step()),
        }
        system
    }

    fn check_invariants(system: &System, (): &()) {
        let owned = system.table.owned_items();
        let held = system.engine.iter().filter(|(item, _)| owned.contains(item));
        let held = held.fold(Tokens::ZERO, |sum, (_, tokens)| sum.saturating_add(*tokens));
        assert!(
            held <= system.table.committed(),
            "the engine holds {held} for owned items, but the table counts fewer"
        );
    }

    fn teardown(mut system: System, (): ()) {
        system.settle();
        let held: BTreeSet<Item> = system.engine.keys().cloned().collect();
        assert_eq!(
            held,
            system.table.owned_items(),
            "held and owned items differ after five seconds"
        );
        for (daemon, linked) in &system.daemons {
            assert!(*linked || !system.table.is_live(daemon), "{daemon} still owns memory");
        }
        if system.daemons.iter().all(|(_, linked)| !linked) {
            assert_eq!((held.len(), system.table.committed()), (0, Tokens::ZERO));
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
    fn engine_memory_matches_its_owners_within_five_seconds(sequential 1..60 => Memory);
}
