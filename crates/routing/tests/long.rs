//! Tests of reservations for prompts larger than an engine.

mod cases;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use kumquattiller_base::account::Rank;
use kumquattiller_base::request;
use kumquattiller_base::runner::Id;
use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;
use kumquattiller_routing::admission;
use kumquattiller_routing::admission::Gate;
use kumquattiller_routing::admission::Item;
use kumquattiller_routing::admission::Limits;
use kumquattiller_routing::admission::Verdict;
use kumquattiller_routing::load::Load;
use kumquattiller_routing::long::Action;
use kumquattiller_routing::long::Event;
use kumquattiller_routing::long::Reservation;
use kumquattiller_routing::long::plan;
use kumquattiller_routing::pace::Pace;
use kumquattiller_routing::table::Distance;
use kumquattiller_routing::table::Table;
use proptest::prelude::prop;
use proptest::prelude::prop_assert;
use proptest::prelude::prop_assert_eq;
use proptest::prelude::proptest;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const CAPACITY: Tokens = Tokens::new(450_000);
const TICK: Duration = Duration::from_millis(100);
const ZONES: usize = 3;

fn id(number: usize) -> Id {
    format!("runner-{number}").parse().unwrap()
}

fn table(runners: usize) -> Table {
    let mut table = Table::default();
    for number in 0..runners {
        let zone = format!("zone-{}", number % ZONES).parse().unwrap();
        table.insert(id(number), zone, Distance::OwnZone);
        let load = Load { capacity: CAPACITY, ..Load::default() };
        table.report(&id(number), load, Moment::ZERO);
    }
    table
}

#[test_case(9, 990_000, true; "two engines and a fifth")]
#[test_case(9, 1_200_000, true; "nearly three engines")]
#[test_case(9, 1_300_000, false; "more than a zone has")]
#[test_case(3, 990_000, false; "zones of one engine")]
fn plans_one_zone_or_names_the_limit(runners: usize, footprint: u64, is_planned: bool) {
    let table = table(runners);
    match plan(&table, Tokens::new(footprint), &[], 0) {
        Ok(parts) => {
            assert!(is_planned);
            let zones: BTreeSet<_> =
                parts.iter().map(|p| &table.get(&p.runner).unwrap().zone).collect();
            assert_eq!(zones.len(), 1);
            assert!(parts.iter().map(|p| p.tokens.get()).sum::<u64>() >= footprint);
            assert!(parts.iter().all(|p| p.tokens <= CAPACITY));
            assert!(parts.is_sorted_by_key(|p| &p.runner));
        }
        Err(too_large) => {
            assert!(!is_planned);
            assert!(too_large.limit < Tokens::new(footprint));
            assert!(too_large.to_string().contains(&too_large.limit.to_string()));
        }
    }
}

#[test]
fn a_lost_engine_releases_the_others_and_is_left_out() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut table = table(12);
    let footprint = Tokens::new(990_000);
    let (mut reservation, _) =
        Reservation::begin(&table, footprint, 0, Moment::from_millis(60_000), Moment::ZERO)
            .unwrap();
    let parts = reservation.parts().to_vec();
    for part in &parts {
        let granted = Event::Granted(part.runner.clone());
        reservation.handle(granted, &table, Moment::ZERO, &mut rng);
    }
    assert!(reservation.is_granted());
    let lost = parts[1].runner.clone();
    table.set_reachable(&lost, false);
    let actions = reservation.handle(Event::Lost(lost.clone()), &table, Moment::ZERO, &mut rng);
    let released: Vec<&Id> = actions
        .iter()
        .filter_map(|a| if let Action::Release(id) = a { Some(id) } else { None })
        .collect();
    assert_eq!(released.len(), parts.len() - 1);
    assert!(!released.contains(&&lost));
    reservation.handle(Event::Tick, &table, Moment::from_millis(10_000), &mut rng);
    assert!(reservation.parts().iter().all(|p| p.runner != lost));
}

#[test]
fn a_late_grant_is_released() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let table = table(9);
    let start_by = Moment::from_millis(60_000);
    let (mut reservation, _) =
        Reservation::begin(&table, Tokens::new(990_000), 0, start_by, Moment::ZERO).unwrap();
    let first = reservation.parts()[0].runner.clone();
    reservation.handle(Event::Refused(first.clone()), &table, Moment::ZERO, &mut rng);
    let actions = reservation.handle(Event::Granted(first.clone()), &table, Moment::ZERO, &mut rng);
    assert_eq!(actions, [Action::Release(first)]);
}

/// Simulation of several reservations that compete for the engines of a fleet.
struct Fleet {
    table: Table,
    gates: BTreeMap<Id, Gate>,
    dead: BTreeSet<Id>,
    reservations: Vec<(Reservation, Moment)>,
    held_until: BTreeMap<usize, Moment>,
    rng: ChaCha8Rng,
    hold_time: Duration,
    grants: u32,
}

impl Fleet {
    fn perform(&mut self, number: usize, actions: Vec<Action>, now: Moment) {
        let mut queue = VecDeque::from(actions);
        while let Some(action) = queue.pop_front() {
            match action {
                Action::Reserve(part) => {
                    let event = self.reserve(number, &part.runner, part.tokens, now);
                    if let Some(event) = event {
                        queue.extend(self.handle(number, event, now));
                    }
                }
                Action::Release(runner) => self.release(number, &runner, now),
                Action::Ready(_) => {
                    self.grants += 1;
                    self.held_until.insert(number, now + self.hold_time);
                }
                Action::Wake(_) | Action::Fail { .. } => {}
            }
        }
    }

    fn handle(&mut self, number: usize, event: Event, now: Moment) -> Vec<Action> {
        self.reservations[number].0.handle(event, &self.table, now, &mut self.rng)
    }

    fn reserve(&mut self, number: usize, id: &Id, tokens: Tokens, now: Moment) -> Option<Event> {
        if self.dead.contains(id) {
            return Some(Event::Lost(id.clone()));
        }
        let item = Item {
            request: request::Id::from_u128(number as u128),
            prompt: tokens,
            max_response: Tokens::ZERO,
            rank: Rank::ZERO,
            deadline: self.reservations[number].1 + self.hold_time,
            is_reservation: true,
        };
        match self.gates.get_mut(id).unwrap().arrive(item, now) {
            Verdict::Admit { .. } => Some(Event::Granted(id.clone())),
            Verdict::Hold => None,
            Verdict::Refuse(_) => Some(Event::Refused(id.clone())),
        }
    }

    fn release(&mut self, number: usize, id: &Id, now: Moment) {
        let request = request::Id::from_u128(number as u128);
        let actions = self.gates.get_mut(id).unwrap().finished(request, now);
        self.forward(id, actions, now);
    }

    fn forward(&mut self, id: &Id, actions: Vec<admission::Action>, now: Moment) {
        for action in actions {
            let (request, event) = match action {
                admission::Action::Admit { request, .. } => (request, Event::Granted(id.clone())),
                admission::Action::Refuse { request, .. } => (request, Event::Refused(id.clone())),
                admission::Action::Expire { request } => (request, Event::Lost(id.clone())),
            };
            let number = request.as_u128() as usize;
            let actions = self.handle(number, event, now);
            self.perform(number, actions, now);
        }
    }

    fn kill(&mut self, id: &Id, now: Moment) {
        self.dead.insert(id.clone());
        self.table.set_reachable(id, false);
        let limits = *self.gates[id].limits();
        self.gates.insert(id.clone(), Gate::new(limits));
        for number in 0..self.reservations.len() {
            let actions = self.handle(number, Event::Lost(id.clone()), now);
            if !self.reservations[number].0.is_granted() {
                self.held_until.remove(&number);
            }
            self.perform(number, actions, now);
        }
    }

    fn tick(&mut self, now: Moment) {
        for id in self.gates.keys().cloned().collect::<Vec<_>>() {
            let actions = self.gates.get_mut(&id).unwrap().advance(now);
            self.forward(&id, actions, now);
        }
        for number in 0..self.reservations.len() {
            let is_done = self.held_until.get(&number).is_some_and(|until| *until <= now);
            let event = if is_done { Event::Finished } else { Event::Tick };
            let actions = self.handle(number, event, now);
            self.perform(number, actions, now);
        }
    }
}

fn fleet(footprints: &[u64], hold_time: u64, seed: u64) -> Fleet {
    let table = table(9);
    let limits = Limits::new(CAPACITY, Pace::default(), Duration::from_millis(40));
    let mut fleet = Fleet {
        gates: (0..9).map(|n| (id(n), Gate::new(limits))).collect(),
        table,
        dead: BTreeSet::new(),
        reservations: Vec::new(),
        held_until: BTreeMap::new(),
        rng: ChaCha8Rng::seed_from_u64(seed),
        hold_time: Duration::from_secs(hold_time),
        grants: 0,
    };
    let start_by = Moment::from_millis(90_000);
    for (number, &footprint) in footprints.iter().enumerate() {
        let started =
            Reservation::begin(&fleet.table, Tokens::new(footprint), 0, start_by, Moment::ZERO);
        let (reservation, actions) = started.unwrap();
        fleet.reservations.push((reservation, start_by));
        fleet.perform(number, actions, Moment::ZERO);
    }
    fleet
}

proptest! {
    #![proptest_config(cases::config(64))]

    /// Reservations compete for the same engines while some engines die. Every reservation ends,
    /// memory is never exceeded, everything is released, and the same seed gives the same number of
    /// grants.
    #[test]
    fn reservations_neither_deadlock_nor_leak(
        footprints in prop::collection::vec(460_000_u64..1_200_000, 1..8),
        deaths in prop::collection::vec((0_usize..9, 0_u64..600), 0..3),
        hold_time in 1_u64..20,
        seed in 0_u64..1_000,
    ) {
        let mut grants = Vec::new();
        for _ in 0..2 {
            let mut fleet = fleet(&footprints, hold_time, seed);
            let mut now = Moment::ZERO;
            for tick in 0..1_200 {
                for (number, _) in deaths.iter().filter(|(_, at)| *at == tick) {
                    fleet.kill(&id(*number), now);
                }
                fleet.tick(now);
                for gate in fleet.gates.values() {
                    prop_assert!(gate.held() <= CAPACITY);
                }
                now = now + TICK;
            }
            prop_assert!(fleet.reservations.iter().all(|(r, _)| r.is_finished()));
            prop_assert!(fleet.gates.values().all(|gate| gate.held() == Tokens::ZERO));
            prop_assert!(fleet.gates.values().all(|gate| gate.waiting() == 0));
            if deaths.is_empty() {
                prop_assert!(fleet.grants >= 1);
            }
            grants.push(fleet.grants);
        }
        prop_assert_eq!(grants[0], grants[1]);
    }
}
