//! Tests of account limits shared between daemons.

mod cases;

use std::time::Duration;

use kumquattiller_base::daemon;
use kumquattiller_base::rate::TokensPerSecond;
use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;
use kumquattiller_routing::account::Limit;
use kumquattiller_routing::account::limit::MAX_FACTOR;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prelude::prop_assert;
use proptest::prelude::proptest;

const LIMIT: TokensPerSecond = TokensPerSecond::new(10_000);
const TICK: Duration = Duration::from_millis(100);
const TICKS_PER_SECOND: usize = 10;

fn daemon_id(number: usize) -> daemon::Id {
    format!("entry-{number}").parse().unwrap()
}

fn limits(count: usize) -> Vec<Limit> {
    (0..count).map(|_| Limit::new(LIMIT, count, Moment::ZERO)).collect()
}

#[test]
fn a_single_daemon_enforces_the_whole_limit_over_time() {
    let mut limit = Limit::new(LIMIT, 1, Moment::ZERO);
    let (mut now, mut admitted) = (Moment::ZERO, 0);
    for tick in 0..600 {
        now = now + TICK;
        if tick % TICKS_PER_SECOND == 0 {
            limit.publish(now);
        }
        if limit.admit(Tokens::new(3_000), now).is_ok() {
            admitted += 3_000;
        }
    }
    let allowed = LIMIT.get() * 60;
    assert!(admitted <= (allowed as f64 * MAX_FACTOR) as u64 + LIMIT.get() * 3, "{admitted}");
    assert!(admitted >= allowed / 2, "{admitted}");
}

#[test]
fn shares_follow_demand() {
    let mut limits = limits(2);
    let mut now = Moment::ZERO;
    for _ in 0..30 {
        now = now + Duration::from_secs(1);
        let _ = limits[0].admit(Tokens::new(8_000), now);
        let demands = [limits[0].publish(now), limits[1].publish(now)];
        limits[0].record_demand(&daemon_id(1), demands[1], now);
        limits[1].record_demand(&daemon_id(0), demands[0], now);
    }
    assert!(limits[0].share(now) > 0.9 * LIMIT.get() as f64);
    assert!(limits[1].share(now) < 0.2 * LIMIT.get() as f64);
    assert!(limits[1].share(now) > 0.0);
}

#[test]
fn a_refusal_names_when_the_share_has_room() {
    let mut limit = Limit::new(LIMIT, 1, Moment::ZERO);
    limit.publish(Moment::ZERO);
    let mut now = Moment::ZERO;
    let refusal = loop {
        match limit.admit(Tokens::new(1_000), now) {
            Ok(()) => {}
            Err(refusal) => break refusal,
        }
    };
    now = now + refusal.retry_after + Duration::from_millis(1);
    assert!(limit.admit(Tokens::new(1_000), now).is_ok());
}

proptest! {
    #![proptest_config(cases::config(128))]

    /// The sum of all shares stays within the limit times `MAX_FACTOR`, whatever the demands,
    /// message delays and network partitions.
    #[test]
    fn shares_never_exceed_the_limit_times_the_maximum_factor(
        demands in prop::collection::vec(prop::collection::vec(0_u64..20_000, 3), 20..40),
        delays in prop::collection::vec(0_usize..9, 9),
        partitions in prop::collection::vec((0_usize..40, any::<u8>()), 0..3),
    ) {
        let count = 3;
        let mut limits = limits(count);
        let mut messages: Vec<(usize, usize, usize, TokensPerSecond)> = Vec::new();
        let mut partition = 0;
        for tick in 0..demands.len() * TICKS_PER_SECOND {
            let now = Moment::ZERO + TICK * tick as u32;
            let second = tick / TICKS_PER_SECOND;
            if tick % TICKS_PER_SECOND == 0 {
                for (_, side) in partitions.iter().filter(|(at, _)| *at == second) {
                    partition = *side;
                }
                for daemon in 0..count {
                    let _ = limits[daemon].admit(Tokens::new(demands[second][daemon]), now);
                    let demand = limits[daemon].publish(now);
                    for peer in (0..count).filter(|peer| *peer != daemon) {
                        let is_partitioned = (partition >> daemon) & 1 != (partition >> peer) & 1;
                        if !is_partitioned {
                            let at = tick + delays[daemon * count + peer];
                            messages.push((at, daemon, peer, demand));
                        }
                    }
                }
            }
            for &(_, from, to, demand) in messages.iter().filter(|(at, ..)| *at == tick) {
                limits[to].record_demand(&daemon_id(from), demand, now);
            }
            let sum: f64 = limits.iter().map(|limit| limit.share(now)).sum();
            prop_assert!(sum <= LIMIT.get() as f64 * MAX_FACTOR * 1.000_001, "{} at {}", sum, now);
        }
    }
}
