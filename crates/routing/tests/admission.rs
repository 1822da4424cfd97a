//! Tests of the admission gate of an engine.

mod cases;

use std::collections::BTreeMap;
use std::time::Duration;

use kumquattiller_base::account::Rank;
use kumquattiller_base::error::Kind;
use kumquattiller_base::request::Id;
use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;
use kumquattiller_routing::admission::Action;
use kumquattiller_routing::admission::Gate;
use kumquattiller_routing::admission::Item;
use kumquattiller_routing::admission::Limits;
use kumquattiller_routing::admission::Verdict;
use kumquattiller_routing::pace::Pace;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prelude::prop_assert;
use proptest::prelude::prop_assert_eq;
use proptest::prelude::proptest;
use test_case::test_case;

const CAPACITY: Tokens = Tokens::new(450_000);
const TICK: Duration = Duration::from_millis(100);

fn gate() -> Gate {
    Gate::new(Limits::new(CAPACITY, Pace::default(), Duration::from_millis(40)))
}

fn item(request: u128, prompt: u64, response: u64, deadline: Moment) -> Item {
    Item {
        request: Id::from_u128(request),
        prompt: Tokens::new(prompt),
        max_response: Tokens::new(response),
        rank: Rank::ZERO,
        deadline,
        is_reservation: false,
    }
}

/// Returns a gate that has measured that requests take the time of a busy engine.
fn warm_gate() -> Gate {
    let mut gate = gate();
    for request in 100..120 {
        gate.arrive(item(request, 2_000, 100, seconds(60)), Moment::ZERO);
        let end = Moment::from_millis(4_040);
        gate.prefilled(Id::from_u128(request), end);
        gate.finished(Id::from_u128(request), end);
    }
    gate
}

fn seconds(seconds: u64) -> Moment {
    Moment::from_millis(seconds * 1_000)
}

#[test]
fn a_short_prompt_passes_a_long_one_that_waits_for_memory() {
    let mut gate = gate();
    let now = Moment::ZERO;
    assert!(matches!(gate.arrive(item(1, 300_000, 100, seconds(60)), now), Verdict::Admit { .. }));
    assert_eq!(gate.arrive(item(2, 200_000, 100, seconds(60)), now), Verdict::Hold);
    assert_eq!(gate.arrive(item(3, 2_000, 100, seconds(60)), now), Verdict::Admit { priority: 0 });
}

#[test]
fn a_second_long_prompt_waits_until_the_first_is_computed() {
    let mut gate = gate();
    let now = Moment::ZERO;
    assert!(matches!(gate.arrive(item(1, 60_000, 100, seconds(60)), now), Verdict::Admit { .. }));
    assert_eq!(gate.arrive(item(2, 60_000, 100, seconds(60)), now), Verdict::Hold);
    let actions = gate.prefilled(Id::from_u128(1), now + TICK);
    assert!(matches!(actions[..], [Action::Admit { .. }]));
}

#[test]
fn an_aged_prompt_is_not_overtaken_by_one_of_its_band() {
    let mut gate = gate();
    gate.arrive(item(1, 300_000, 100, seconds(60)), Moment::ZERO);
    gate.prefilled(Id::from_u128(1), Moment::ZERO);
    assert_eq!(gate.arrive(item(2, 200_000, 100, seconds(60)), Moment::ZERO), Verdict::Hold);
    let later = seconds(30);
    assert!(!matches!(
        gate.arrive(item(3, 101_000, 100, seconds(90)), later),
        Verdict::Admit { .. }
    ));
}

#[test_case(500_000, 100, 60, Kind::PromptTooLarge; "larger than the engine")]
#[test_case(2_000, 1_000, 10, Kind::Overloaded; "cannot end before its deadline")]
fn refuses_what_cannot_end_in_time(prompt: u64, response: u64, deadline: u64, kind: Kind) {
    let verdict = warm_gate().arrive(item(1, prompt, response, seconds(deadline)), Moment::ZERO);
    let Verdict::Refuse(refusal) = verdict else { panic!("{verdict:?}") };
    assert_eq!(refusal.kind, kind);
    assert!(!refusal.retry_after.is_zero());
}

#[test]
fn a_request_is_not_refused_on_an_engine_measured_as_fast() {
    let mut gate = gate();
    for request in 100..200 {
        gate.arrive(item(request, 2_000, 100, seconds(60)), Moment::ZERO);
        gate.prefilled(Id::from_u128(request), Moment::from_millis(50));
        gate.finished(Id::from_u128(request), Moment::from_millis(50));
    }
    let request = item(1, 2_000, 1_000, seconds(10));
    assert!(matches!(gate.arrive(request, Moment::ZERO), Verdict::Admit { .. }));
}

#[test]
fn a_prompt_of_nearly_the_whole_engine_is_admitted() {
    let verdict = gate().arrive(item(1, 440_000, 100, seconds(60)), Moment::ZERO);
    assert!(matches!(verdict, Verdict::Admit { .. }));
}

#[test]
fn refuses_everything_while_draining() {
    let mut gate = gate();
    gate.drain();
    let verdict = gate.arrive(item(1, 2_000, 100, seconds(60)), Moment::ZERO);
    assert!(matches!(verdict, Verdict::Refuse(refusal) if refusal.kind == Kind::Leaving));
    assert!(gate.load().draining);
}

#[test]
fn a_reservation_that_nobody_releases_expires() {
    let mut gate = gate();
    let part = Item { is_reservation: true, ..item(1, 300_000, 0, seconds(20)) };
    assert!(matches!(gate.arrive(part, Moment::ZERO), Verdict::Admit { .. }));
    assert_eq!(gate.held(), Tokens::new(300_000));
    assert_eq!(gate.advance(seconds(21)), [Action::Expire { request: Id::from_u128(1) }]);
    assert_eq!(gate.held(), Tokens::ZERO);
}

proptest! {
    #![proptest_config(cases::config(128))]

    /// The engine's memory is never exceeded, and every queued request is admitted or refused by
    /// its deadline.
    #[test]
    fn memory_limit_holds_and_every_request_is_decided_by_its_deadline(
        arrivals in prop::collection::vec(
            (0_u64..300, 1_000_u64..440_000, 16_u64..1_000, 5_u64..90, any::<bool>()),
            1..120,
        ),
    ) {
        let mut gate = gate();
        let mut waiting: BTreeMap<Id, Moment> = BTreeMap::new();
        let mut ends: BTreeMap<(Moment, Id), Tokens> = BTreeMap::new();
        let mut arrivals: Vec<_> = arrivals
            .into_iter()
            .enumerate()
            .map(|(n, (at, prompt, response, span, is_short))| {
                let at = Moment::ZERO + TICK * at as u32;
                let prompt = if is_short { prompt % 7_000 + 1_000 } else { prompt };
                (at, item(n as u128, prompt, response, at + Duration::from_secs(span)))
            })
            .collect();
        arrivals.sort_by_key(|(at, _)| *at);
        let items: BTreeMap<Id, Item> = arrivals.iter().map(|(_, i)| (i.request, *i)).collect();
        let end = |item: &Item, now: Moment| {
            now + Pace::default().service_time(item.prompt, item.max_response)
        };
        let mut now = Moment::ZERO;
        while now < seconds(200) {
            let mut actions = gate.advance(now);
            while let Some((&(at, id), _)) = ends.first_key_value()
                && at <= now
            {
                ends.pop_first();
                actions.extend(gate.prefilled(id, now));
                actions.extend(gate.finished(id, now));
            }
            for action in actions {
                match action {
                    Action::Admit { request, .. } => {
                        prop_assert!(waiting.remove(&request).is_some());
                        let item = items[&request];
                        ends.insert((end(&item, now), request), item.footprint());
                    }
                    Action::Refuse { request, .. } => {
                        prop_assert!(waiting.remove(&request).is_some());
                    }
                    Action::Expire { .. } => prop_assert!(false, "no reservation was made"),
                }
            }
            for (_, item) in arrivals.iter().filter(|(at, _)| *at == now) {
                match gate.arrive(*item, now) {
                    Verdict::Admit { .. } => {
                        ends.insert((end(item, now), item.request), item.footprint());
                    }
                    Verdict::Hold => {
                        waiting.insert(item.request, item.deadline);
                    }
                    Verdict::Refuse(_) => {}
                }
            }
            let held: u64 = ends.values().map(|tokens| tokens.get()).sum();
            prop_assert_eq!(gate.held(), Tokens::new(held));
            prop_assert!(gate.held() <= CAPACITY);
            prop_assert!(waiting.values().all(|deadline| now <= *deadline));
            now = now + TICK;
        }
        prop_assert!(waiting.is_empty() && ends.is_empty());
        prop_assert_eq!(gate.held(), Tokens::ZERO);
        prop_assert_eq!(gate.load().backlog, Tokens::ZERO);
    }
}
