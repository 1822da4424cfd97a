//! The load ledger: work in flight from this daemon and from its peers.

use std::collections::HashMap;
use std::time::Duration;

use kumquattiller_base::runner;
use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;
use kumquattiller_gateway::load::Assignment;
use kumquattiller_gateway::load::Demand;
use kumquattiller_gateway::load::Ledger;
use kumquattiller_gateway::load::Load;
use kumquattiller_gateway::load::ReportedLoad;
use kumquattiller_gateway::load::server_key;
use proptest::prelude::*;

use crate::support::cases;

/// Fixed seed of the properties' cases.
const SEED: u64 = 0x5eed_0103;

fn id(n: usize) -> runner::Id {
    format!("server-{n}").parse().unwrap()
}

fn assignment(n: usize, helper: bool) -> Assignment {
    Assignment {
        server: id(n),
        prefill_ms: 100.0,
        target_gap: Duration::from_millis(if n.is_multiple_of(3) { 200 } else { 800 }),
        value: 2.0,
        urgency: 0.01,
        memory: Tokens::new(if helper { 0 } else { 1_000 }),
        helper,
    }
}

fn reported(backlog_ms: f64, sent_ms: f64) -> ReportedLoad {
    ReportedLoad { load: Load { backlog_ms, ..Load::default() }, sent_ms }
}

/// Passes a peer's report of the first server to the ledger.
fn report(ledger: &mut Ledger, load: ReportedLoad, at_ms: u64) {
    let loads = HashMap::from([(server_key(&id(0)), load)]);
    let now = Moment::from_millis(at_ms);
    ledger.update_peer("peer".parse().unwrap(), Demand::default(), loads, now);
}

fn backlog_at(ledger: &Ledger, at_ms: u64) -> f64 {
    ledger.server_load(&id(0), Moment::from_millis(at_ms)).backlog_ms
}

proptest! {
    #![proptest_config(cases(SEED))]

    /// The loads of all servers together are equal to the loads of each server by itself.
    #[test]
    fn all_loads_together_equal_the_load_of_each_server(
        own in proptest::collection::vec(0..4_usize, 0..6),
        peers in proptest::collection::vec((0..4_usize, 0..900_u64, 0..700_u64), 0..8),
    ) {
        let mut ledger = Ledger::default();
        for server in own {
            ledger.start(vec![assignment(server, false)], Moment::ZERO);
        }
        for (n, (server, backlog_ms, at_ms)) in peers.into_iter().enumerate() {
            let loads = HashMap::from([
                (server_key(&id(server)), reported(backlog_ms as f64, backlog_ms as f64)),
            ]);
            let peer = format!("peer-{n}").parse().unwrap();
            ledger.update_peer(peer, Demand::default(), loads, Moment::from_millis(at_ms));
        }
        let now = Moment::from_millis(700);
        let peer_loads = ledger.peer_loads(now);
        for server in 0..4 {
            let total =
                ledger.total_load(&id(server), peer_loads.get(&server_key(&id(server))), now);
            prop_assert_eq!(total, ledger.server_load(&id(server), now));
        }
    }

    /// No load is left when all requests have ended, in whatever order they begin, are prefilled
    /// and end.
    #[test]
    fn no_load_is_left_when_all_requests_have_ended(steps in proptest::collection::vec((0..4_usize, 0..3_u8, 0..300_u64), 1..80)) {
        let mut ledger = Ledger::default();
        let mut now = Moment::from_millis(1);
        let mut keys = Vec::new();
        for (server, action, gap) in steps {
            now = now + Duration::from_millis(gap);
            match (action, keys.last().copied()) {
                (1, Some(key)) => ledger.first_event(key, true),
                (2, Some(key)) => {
                    keys.pop();
                    ledger.end(key);
                }
                _ => keys.push(ledger.start(
                    vec![assignment(server, false), assignment(server + 1, true)],
                    now,
                )),
            }
        }
        for key in keys {
            ledger.end(key);
        }
        for server in 0..6 {
            prop_assert_eq!(ledger.local_load(&id(server)), Load::default());
        }
        prop_assert!(ledger.is_empty());
    }
}

#[test]
fn a_prefilled_prompt_becomes_a_decoding_stream() {
    let mut ledger = Ledger::default();
    let key = ledger.start(vec![assignment(0, false)], Moment::ZERO);
    assert_eq!(ledger.local_load(&id(0)).backlog_ms, 100.0);
    ledger.first_event(key, true);
    let load = ledger.local_load(&id(0));
    assert_eq!((load.backlog_ms, load.interactive, load.requests, load.memory), (0.0, 1, 1, 1_000));
}

#[test]
fn a_late_stream_has_no_value_left_to_lose() {
    let mut ledger = Ledger::default();
    let key = ledger.start(vec![assignment(0, false)], Moment::ZERO);
    ledger.first_event(key, true);
    assert_eq!(ledger.local_load(&id(0)).streams[0].value, 2.0);
    ledger.mark_late(key);
    assert_eq!(ledger.local_load(&id(0)).streams[0].value, 0.0);
}

/// The memory of a server that only holds a part of a prompt stays counted while other requests
/// end.
#[test]
fn memory_held_for_another_server_is_counted_until_its_request_ends() {
    let mut ledger = Ledger::default();
    let holder = Assignment { memory: Tokens::new(5_000), ..assignment(1, true) };
    let joint = ledger.start(vec![assignment(0, false), holder], Moment::ZERO);
    ledger.first_event(joint, true);
    let other = ledger.start(vec![assignment(2, false)], Moment::ZERO);
    ledger.end(other);
    assert_eq!(ledger.local_load(&id(1)).memory, 5_000);
    let later = ledger.start(vec![assignment(1, false)], Moment::ZERO);
    ledger.end(joint);
    assert_eq!(ledger.local_load(&id(1)).memory, 1_000);
    ledger.end(later);
}

#[test]
fn the_load_of_a_silent_peer_is_not_counted() {
    let mut ledger = Ledger::default();
    let load = Load { requests: 3, ..Load::default() };
    report(&mut ledger, ReportedLoad { load, sent_ms: 0.0 }, 0);
    assert_eq!(ledger.server_load(&id(0), Moment::from_millis(100)).requests, 3);
    assert_eq!(ledger.server_load(&id(0), Moment::from_millis(2_000)).requests, 0);
}

#[test]
fn the_backlog_of_a_peer_shrinks_over_time() {
    let mut ledger = Ledger::default();
    report(&mut ledger, reported(400.0, 400.0), 0);
    assert_eq!(backlog_at(&ledger, 300), 100.0);
}

/// The backlog assumes that a server prefills prompts one after the other, regardless of the daemon
/// that sent them.
#[test]
fn the_backlog_adds_up_prefills_from_two_daemons() {
    let mut ledger = Ledger::default();
    ledger.start(vec![Assignment { prefill_ms: 300.0, ..assignment(0, false) }], Moment::ZERO);
    report(&mut ledger, reported(300.0, 300.0), 0);
    assert_eq!(backlog_at(&ledger, 300), 300.0);
}

#[test]
fn a_repeated_report_adds_no_backlog() {
    let mut ledger = Ledger::default();
    report(&mut ledger, reported(400.0, 400.0), 0);
    report(&mut ledger, reported(400.0, 400.0), 100);
    assert_eq!(backlog_at(&ledger, 100), 300.0);
}

/// The report after a lost one covers the work sent in the meantime.
#[test]
fn the_report_after_a_lost_one_covers_its_work() {
    let mut ledger = Ledger::default();
    report(&mut ledger, reported(100.0, 100.0), 0);
    report(&mut ledger, reported(500.0, 900.0), 400);
    assert_eq!(backlog_at(&ledger, 400), 500.0);
    assert_eq!(backlog_at(&ledger, 800), 400.0);
}

#[test]
fn a_restarted_peer_counts_from_its_restart() {
    let mut ledger = Ledger::default();
    report(&mut ledger, reported(50.0, 5_000.0), 0);
    report(&mut ledger, reported(200.0, 200.0), 100);
    assert_eq!(backlog_at(&ledger, 100), 200.0);
}

#[test]
fn a_server_that_is_slower_than_expected_keeps_a_backlog() {
    let mut ledger = Ledger::default();
    report(&mut ledger, reported(400.0, 400.0), 0);
    report(&mut ledger, reported(400.0, 400.0), 500);
    assert!(backlog_at(&ledger, 550) > 50.0);
}

#[test]
fn demand_decays_over_time() {
    let mut ledger = Ledger::default();
    for n in 0..50 {
        ledger.record_demand(200.0, n % 2 == 0, Moment::from_millis(n * 20));
    }
    let busy = ledger.demand(Moment::from_millis(1_000));
    let idle = ledger.demand(Moment::from_millis(20_000));
    assert!(busy.long_ms_per_s > 1_000.0 && busy.short_per_s > 5.0, "{busy:?}");
    assert!(idle.long_ms_per_s < 10.0 && idle.short_per_s < 0.1, "{idle:?}");
}

#[test]
fn a_request_is_urgent_at_all_its_servers_until_its_first_event() {
    let mut ledger = Ledger::default();
    let key = ledger.start(vec![assignment(0, false), assignment(1, true)], Moment::ZERO);
    let urgency = |ledger: &Ledger, n: usize| ledger.local_load(&id(n)).urgency;
    assert_eq!((urgency(&ledger, 0), urgency(&ledger, 1)), (0.01, 0.01));
    ledger.first_event(key, true);
    assert_eq!((urgency(&ledger, 0), urgency(&ledger, 1)), (0.0, 0.0));
    ledger.end(key);
    assert_eq!(urgency(&ledger, 0), 0.0);
}
