//! What is in flight, here and at the peers.

use std::collections::HashMap;
use std::time::Duration;

use kumquattiller_base::runner;
use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;
use kumquattiller_gateway::load::Demand;
use kumquattiller_gateway::load::Ledger;
use kumquattiller_gateway::load::Load;
use kumquattiller_gateway::load::Work;
use kumquattiller_gateway::load::key_of;
use proptest::prelude::*;

use crate::support::cases;

/// Seed of the cases in CI.
const SEED: u64 = 0x5eed_0103;

fn id(n: usize) -> runner::Id {
    format!("server-{n}").parse().unwrap()
}

fn work(n: usize, helper: bool) -> Work {
    Work {
        server: id(n),
        read_ms: 100.0,
        pause: Duration::from_millis(if n.is_multiple_of(3) { 200 } else { 800 }),
        worth: 2.0,
        memory: Tokens::new(if helper { 0 } else { 1_000 }),
        helper,
    }
}

proptest! {
    #![proptest_config(cases(SEED))]

    /// Whatever order requests begin, are read and end in, nothing is left when all have ended.
    #[test]
    fn nothing_is_left_when_all_has_ended(steps in proptest::collection::vec((0..4_usize, 0..3_u8, 0..300_u64), 1..80)) {
        let mut ledger = Ledger::default();
        let mut now = Moment::from_millis(1);
        let mut open = Vec::new();
        for (server, action, gap) in steps {
            now = now + Duration::from_millis(gap);
            match (action, open.last().copied()) {
                (1, Some(key)) => ledger.read(key, true, now),
                (2, Some(key)) => {
                    open.pop();
                    ledger.end(key, now);
                }
                _ => open.push(ledger.start(vec![work(server, false), work(server + 1, true)], now)),
            }
        }
        for key in open {
            ledger.end(key, now);
        }
        for server in 0..6 {
            prop_assert_eq!(ledger.own(&id(server), now), Load::default());
        }
        prop_assert!(ledger.is_empty());
    }
}

#[test]
fn a_read_prompt_turns_into_a_writing_stream() {
    let mut ledger = Ledger::default();
    let key = ledger.start(vec![work(0, false)], Moment::ZERO);
    assert_eq!(ledger.own(&id(0), Moment::ZERO).unread_ms, 100.0);
    ledger.read(key, true, Moment::from_millis(100));
    let load = ledger.own(&id(0), Moment::from_millis(100));
    assert_eq!((load.unread_ms, load.tight, load.requests, load.memory), (0.0, 1, 1, 1_000));
}

#[test]
fn a_late_stream_has_nothing_more_to_lose() {
    let mut ledger = Ledger::default();
    let key = ledger.start(vec![work(0, false)], Moment::ZERO);
    ledger.read(key, true, Moment::ZERO);
    assert_eq!(ledger.own(&id(0), Moment::ZERO).streams[0].worth, 2.0);
    ledger.late(key);
    assert_eq!(ledger.own(&id(0), Moment::ZERO).streams[0].worth, 0.0);
}

/// A server that only holds memory for a prompt keeps it on the books while other requests end.
#[test]
fn memory_that_is_held_for_another_server_is_counted_to_its_end() {
    let mut ledger = Ledger::default();
    let holder = Work { memory: Tokens::new(5_000), ..work(1, true) };
    let joint = ledger.start(vec![work(0, false), holder], Moment::ZERO);
    ledger.read(joint, true, Moment::ZERO);
    let other = ledger.start(vec![work(2, false)], Moment::ZERO);
    ledger.end(other, Moment::ZERO);
    assert_eq!(ledger.own(&id(1), Moment::ZERO).memory, 5_000);
    let later = ledger.start(vec![work(1, false)], Moment::ZERO);
    ledger.end(joint, Moment::ZERO);
    assert_eq!(ledger.own(&id(1), Moment::ZERO).memory, 1_000);
    ledger.end(later, Moment::ZERO);
}

#[test]
fn a_peer_counts_until_it_is_silent() {
    let mut ledger = Ledger::default();
    let load = Load { requests: 3, ..Load::default() };
    let loads = HashMap::from([(key_of(&id(0)), load)]);
    ledger.tell("peer".parse().unwrap(), Demand::default(), loads, Moment::ZERO);
    assert_eq!(ledger.view(&id(0), Moment::from_millis(100)).requests, 3);
    assert_eq!(ledger.view(&id(0), Moment::from_millis(2_000)).requests, 0);
}

#[test]
fn what_a_peer_had_unread_is_read_meanwhile() {
    let mut ledger = Ledger::default();
    let load = Load { unread_ms: 400.0, ..Load::default() };
    let loads = HashMap::from([(key_of(&id(0)), load)]);
    ledger.tell("peer".parse().unwrap(), Demand::default(), loads, Moment::ZERO);
    assert_eq!(ledger.view(&id(0), Moment::from_millis(300)).unread_ms, 100.0);
}

#[test]
fn demand_is_forgotten() {
    let mut ledger = Ledger::default();
    for n in 0..50 {
        ledger.count(200.0, n % 2 == 0, Moment::from_millis(n * 20));
    }
    let busy = ledger.demand(Moment::from_millis(1_000));
    let idle = ledger.demand(Moment::from_millis(20_000));
    assert!(busy.long_ms > 1_000.0 && busy.short > 5.0, "{busy:?}");
    assert!(idle.long_ms < 10.0 && idle.short < 0.1, "{idle:?}");
}
