//! Connections whose peers take nothing, played against a model of the system's window probes.

use std::time::Duration;

use kumquattiller_base::time::Moment;
use kumquattiller_gateway::socket::DEAD_AFTER;
use kumquattiller_gateway::socket::DEAD_WHILE_STALLED;
use kumquattiller_gateway::socket::Report;
use kumquattiller_gateway::socket::Stall;
use proptest::prelude::*;

use crate::support::cases;

/// Time after which the system sends its first probe, in milliseconds.
const FIRST_PROBE_MS: u64 = 200;
/// Interval between two looks at a connection, in milliseconds.
const CHECK_MS: u64 = 250;
/// Length of a play, in milliseconds.
const END_MS: u64 = 90_000;

/// A connection on which the peer's window closes at time zero, as the system handles it.
struct Connection {
    /// For how long the system waits, in milliseconds.
    timeout_ms: u64,
    backoff: u32,
    first_probe_ms: Option<u64>,
    next_probe_ms: u64,
    acknowledged_ms: u64,
    round_trip_ms: u64,
}

impl Connection {
    fn new(round_trip_ms: u64) -> Self {
        Self {
            timeout_ms: DEAD_AFTER.as_millis() as u64,
            backoff: 0,
            first_probe_ms: None,
            next_probe_ms: FIRST_PROBE_MS,
            acknowledged_ms: 0,
            round_trip_ms,
        }
    }

    /// Sends a probe that is due; returns whether the connection stays open.
    fn advance(&mut self, now_ms: u64, is_alive: bool) -> bool {
        if now_ms < self.next_probe_ms {
            return true;
        }
        let waited_ms = now_ms - *self.first_probe_ms.get_or_insert(now_ms);
        if waited_ms >= self.timeout_ms {
            return false;
        }
        let answered_ms = now_ms + if is_alive { self.round_trip_ms } else { 0 };
        if is_alive {
            self.acknowledged_ms = answered_ms;
        }
        self.backoff += 1;
        let interval_ms = FIRST_PROBE_MS << self.backoff.min(10);
        self.next_probe_ms = answered_ms + interval_ms.min(self.timeout_ms - waited_ms).max(1);
        true
    }

    fn report(&self, now_ms: u64) -> Report {
        let since_ms = now_ms.saturating_sub(self.acknowledged_ms);
        Report {
            is_stalled: self.backoff > 0,
            is_unacknowledged: false,
            since_acknowledgement: Duration::from_millis(since_ms),
            retransmission_timeout: Duration::from_millis(FIRST_PROBE_MS),
        }
    }
}

/// Plays a peer that dies at `dies_ms`; returns when its connection is ended. Each look at the
/// connection is late by one of `delays_ms`.
fn play(dies_ms: Option<u64>, round_trip_ms: u64, delays_ms: &[u64]) -> Option<u64> {
    let mut connection = Connection::new(round_trip_ms);
    let mut stall = Stall::default();
    let mut next_check_ms = CHECK_MS;
    let mut delays_ms = delays_ms.iter().cycle();
    for now_ms in 0..END_MS {
        let is_alive = dies_ms.is_none_or(|dies_ms| now_ms < dies_ms);
        if !connection.advance(now_ms, is_alive) {
            return Some(now_ms);
        }
        if now_ms == next_check_ms {
            next_check_ms += CHECK_MS + delays_ms.next().copied().unwrap_or_default();
            let now = Moment::ZERO + Duration::from_millis(now_ms);
            if let Some(timeout) = stall.update(connection.report(now_ms), now) {
                connection.timeout_ms = timeout.as_millis() as u64;
            }
        }
    }
    None
}

/// Returns how late looks at a connection are: mostly a little, never so late that the system's usual
/// time passes without one.
fn delays() -> impl Strategy<Value = Vec<u64>> {
    prop::collection::vec(prop_oneof![4 => 0_u64..20, 1 => 0_u64..500], 1..20)
}

proptest! {
    #![proptest_config(cases(41))]

    /// Guards against a live peer that is taken for a dead one, however long it does not read.
    #[test]
    fn a_live_peer_is_never_taken_for_dead(round_trip_ms in 0_u64..300, delays_ms in delays()) {
        prop_assert_eq!(play(None, round_trip_ms, &delays_ms), None);
    }

    /// Guards against the connection of a dead peer that stays open.
    #[test]
    fn a_peer_that_dies_while_it_does_not_read_is_dead_in_time(
        dies_ms in 0_u64..60_000,
        round_trip_ms in 0_u64..300,
        delays_ms in delays(),
    ) {
        let ended_ms = play(Some(dies_ms), round_trip_ms, &delays_ms);
        let bound_ms = dies_ms + DEAD_WHILE_STALLED.as_millis() as u64;
        prop_assert!(ended_ms.is_some_and(|ended_ms| ended_ms <= bound_ms), "{ended_ms:?}");
    }
}

/// Guards against a longer wait on a connection whose peer takes data again.
#[test]
fn the_usual_wait_is_restored_when_the_peer_reads_again() {
    let mut connection = Connection::new(1);
    let mut stall = Stall::default();
    let at = |ms| Moment::ZERO + Duration::from_millis(ms);
    connection.advance(200, true);
    assert_eq!(stall.update(connection.report(250), at(250)), None);
    connection.advance(601, true);
    assert!(stall.update(connection.report(750), at(750)) > Some(DEAD_AFTER));
    connection.backoff = 0;
    assert_eq!(stall.update(connection.report(1_000), at(1_000)), Some(DEAD_AFTER));
    assert_eq!(stall.update(connection.report(1_250), at(1_250)), None);
}
