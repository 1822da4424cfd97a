//! Memory reserved at a server that carries calls out late, played against the decisions.

use std::time::Duration;

use kumquattiller_base::time::Moment;
use kumquattiller_gateway::reservation::release::LATE_CALL_TIME;
use kumquattiller_gateway::reservation::release::Release;
use kumquattiller_gateway::reservation::renewal;
use proptest::prelude::*;

use crate::support::cases;

/// Interval at which renewals that are due are looked for, in milliseconds.
const CHECK_MS: u64 = 500;
/// Time after which a call without a response is given up, in milliseconds.
const TIMEOUT_MS: u64 = 400;
/// Longest time for which memory may stay reserved after its request has ended, in milliseconds.
const RETENTION_MS: u64 = 4_000;
/// Time from which on memory that is reserved counts as kept, in milliseconds.
const NOTICED_MS: u64 = 2_000;
/// Releases one after the other that may get no response.
const MAX_LOST_RELEASES: usize = 2;

/// What becomes of a call.
#[derive(Debug, Clone, Copy)]
enum Fate {
    /// It is carried out and answered.
    Answered,
    /// It is carried out after this many milliseconds and not answered.
    Late(u64),
    /// The same, and it is carried out at once as well.
    Twice(u64),
    /// It is never carried out and not answered.
    Lost,
}

/// A call that a server carries out: the time, and for how long it reserves memory, or none if it releases.
type Order = (u64, Option<u64>);

impl Fate {
    fn is_answered(self) -> bool {
        matches!(self, Self::Answered)
    }

    fn duration_ms(self) -> u64 {
        if self.is_answered() { 5 } else { TIMEOUT_MS }
    }

    /// Returns when a call that is sent at `now_ms` is carried out.
    fn carried_out_ms(self, now_ms: u64) -> Vec<u64> {
        match self {
            Self::Answered => vec![now_ms],
            Self::Late(delay_ms) => vec![now_ms + delay_ms],
            Self::Twice(delay_ms) => vec![now_ms, now_ms + delay_ms],
            Self::Lost => Vec::new(),
        }
    }
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        4 => Just(Fate::Answered),
        2 => (0_u64..12_000).prop_map(Fate::Late),
        1 => (0_u64..12_000).prop_map(Fate::Twice),
        1 => Just(Fate::Lost),
    ]
}

fn at(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

fn millis(moment: Moment) -> u64 {
    moment.since(Moment::ZERO).as_millis() as u64
}

/// Plays the calls of a daemon whose request ends at `end_ms`. The daemon is frozen until `wakes_ms` if the
/// request ends before.
fn play(end_ms: u64, wakes_ms: u64, fates: &[Fate]) -> Vec<Order> {
    let mut fates = fates.iter().copied().cycle();
    let mut orders = Vec::new();
    let hold_ms = renewal::LIFETIME.as_millis() as u64;
    let mut expires = at(hold_ms);
    let mut unanswered_at = None;
    orders.push((0, Some(hold_ms)));
    for now_ms in (CHECK_MS..end_ms).step_by(CHECK_MS as usize) {
        let left = expires.since(at(now_ms));
        if renewal::due(left, Duration::ZERO, false).is_none() {
            continue;
        }
        let fate = fates.next().unwrap_or(Fate::Answered);
        orders.extend(fate.carried_out_ms(now_ms).into_iter().map(|ms| (ms, Some(hold_ms))));
        match fate.is_answered() {
            true => expires = at(now_ms) + renewal::LIFETIME,
            false => unanswered_at = Some(at(now_ms)),
        }
    }
    let mut release = Release::new(expires, unanswered_at);
    let mut now_ms = end_ms.max(wakes_ms);
    let mut lost = 0;
    while let Some(next) = release.next_call(at(now_ms)) {
        let drawn = fates.next().unwrap_or(Fate::Answered);
        let fate = if lost < MAX_LOST_RELEASES { drawn } else { Fate::Answered };
        lost = if fate.is_answered() { 0 } else { lost + 1 };
        now_ms = millis(next);
        orders.extend(fate.carried_out_ms(now_ms).into_iter().map(|ms| (ms, None)));
        now_ms += fate.duration_ms();
        release.record_call(at(now_ms), fate.is_answered());
    }
    orders
}

/// Returns the stretches of time in which the server has memory reserved.
fn stretches(mut orders: Vec<Order>) -> Vec<(u64, u64)> {
    orders.sort_unstable();
    let mut stretches: Vec<(u64, u64)> = Vec::new();
    for (now_ms, hold_ms) in orders {
        match (stretches.last_mut().filter(|(_, end_ms)| *end_ms > now_ms), hold_ms) {
            (Some((_, end_ms)), hold_ms) => *end_ms = now_ms + hold_ms.unwrap_or_default(),
            (None, Some(hold_ms)) => stretches.push((now_ms, now_ms + hold_ms)),
            (None, None) => {}
        }
    }
    stretches
}

proptest! {
    #![proptest_config(cases(42))]

    /// Guards against memory that a late call reserves anew and nobody releases.
    #[test]
    fn late_calls_keep_no_memory_after_the_end_of_a_request(
        end_ms in 0_u64..10_000,
        frozen_ms in prop_oneof![3 => Just(0_u64), 1 => 0_u64..1_500],
        fates in prop::collection::vec(fate(), 1..40),
    ) {
        for (start_ms, stop_ms) in stretches(play(end_ms, end_ms + frozen_ms, &fates)) {
            let limit_ms = match start_ms <= end_ms {
                true => end_ms + RETENTION_MS,
                false => (start_ms + NOTICED_MS).max(end_ms + frozen_ms + NOTICED_MS),
            };
            prop_assert!(stop_ms <= limit_ms, "{start_ms} to {stop_ms}, the request ended at {end_ms}");
        }
    }

    /// Guards against releases without end, and against more than one where all calls are answered.
    #[test]
    fn releases_end(end_ms in 0_u64..10_000, fates in prop::collection::vec(fate(), 1..40)) {
        let releases = |fates: &[Fate]| {
            let orders = play(end_ms, end_ms, fates);
            orders.into_iter().filter(|(_, hold_ms)| hold_ms.is_none()).map(|(ms, _)| ms).max()
        };
        prop_assert_eq!(releases(&[Fate::Answered]), Some(end_ms));
        let last_ms = releases(&fates).unwrap_or_default();
        let late_ms = LATE_CALL_TIME.as_millis() as u64;
        prop_assert!(last_ms <= end_ms + late_ms + 12_000);
    }
}
