//! Property tests of a zone of daemons that are killed, paused and partitioned.

mod fleet;

use std::time::Duration;

use fleet::Fleet;
use kumquattiller_membership::Limits;
use proptest::prelude::*;

const SEED: u64 = 0x5eed_0005;
/// Time within which all daemons learn of each other.
const CONVERGENCE: Duration = Duration::from_secs(20);

fn config() -> ProptestConfig {
    let cases = std::env::var("KUMQUATTILLER_CASES").ok().and_then(|n| n.parse().ok());
    ProptestConfig {
        cases: cases.unwrap_or(24),
        rng_seed: proptest::test_runner::RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Returns the time within which all daemons remove a killed member.
fn removal_time() -> Duration {
    let limits = Limits::default();
    limits.reply_timeout + limits.remove_after + CONVERGENCE
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn one_seed_daemon_is_enough_to_find_all_members(seed in any::<u64>(), daemons in 2..40_usize) {
        let mut fleet = Fleet::new(seed, daemons);
        fleet.run(CONVERGENCE);
        prop_assert_eq!(fleet.missing_members(), 0);
    }

    #[test]
    fn only_killed_daemons_are_removed(
        seed in any::<u64>(),
        daemons in 3..40_usize,
        killed in prop::collection::btree_set(0..40_usize, 1..4),
    ) {
        let mut fleet = Fleet::new(seed, daemons);
        fleet.run(CONVERGENCE);
        for n in killed {
            fleet.kill(n % daemons);
        }
        fleet.run(removal_time());
        prop_assert_eq!(fleet.stale_members(), 0);
        prop_assert_eq!(fleet.missing_members(), 0);
        prop_assert_eq!(fleet.false_removals(), 0);
    }

    #[test]
    fn a_paused_daemon_rejoins_and_removes_no_other(
        seed in any::<u64>(),
        daemons in 3..30_usize,
        pause_secs in 1..200_u64,
    ) {
        let mut fleet = Fleet::new(seed, daemons);
        fleet.run(CONVERGENCE);
        let before = fleet.incarnation(0);
        fleet.pause(0, Duration::from_secs(pause_secs));
        fleet.run(Duration::from_secs(pause_secs) + CONVERGENCE * 2);
        prop_assert_eq!(fleet.missing_members(), 0);
        prop_assert_eq!(fleet.removals_by(0), 0);
        if pause_secs > 6 {
            prop_assert!(fleet.incarnation(0) > before, "resumed with its old incarnation");
        }
    }

    #[test]
    fn partition_heals(
        seed in any::<u64>(),
        daemons in 4..30_usize,
        partition_secs in 1..100_u64,
    ) {
        let mut fleet = Fleet::new(seed, daemons);
        fleet.run(CONVERGENCE);
        fleet.partition(daemons / 2);
        fleet.run(Duration::from_secs(partition_secs));
        fleet.heal();
        fleet.run(CONVERGENCE * 2);
        prop_assert_eq!(fleet.missing_members(), 0);
    }
}

#[test]
fn daemon_that_left_is_removed_and_stays_removed() {
    let mut fleet = Fleet::new(7, 20);
    fleet.run(CONVERGENCE);
    fleet.leave(3);
    fleet.run(CONVERGENCE);
    assert_eq!(fleet.stale_members(), 0);
    fleet.run(Duration::from_secs(60));
    assert_eq!(fleet.stale_members(), 0);
}

#[test]
fn removal_takes_suspicion_first() {
    let limits = Limits::default();
    let mut fleet = Fleet::new(8, 20);
    fleet.run(CONVERGENCE);
    fleet.kill(3);
    fleet.run(limits.remove_after);
    assert_eq!(fleet.removals_of(3), 0);
    fleet.run(removal_time() - limits.remove_after);
    assert_eq!(fleet.removals_of(3), 19);
}

/// Daemons of a zone at the size expected in two years: 1,600 over 18 availability zones.
const DAEMONS_PER_ZONE: usize = 89;
/// Limit on the control traffic of one daemon.
const CONTROL_BYTES_PER_SECOND: usize = 3_000;

#[test]
fn gossip_stays_far_below_the_control_limit() {
    let mut fleet = Fleet::new(9, DAEMONS_PER_ZONE);
    fleet.run(CONVERGENCE);
    fleet.take_sent_bytes();
    let seconds = 60;
    fleet.run(Duration::from_secs(seconds));
    let steady = fleet.take_sent_bytes() / DAEMONS_PER_ZONE / seconds as usize;
    (0..9).for_each(|n| fleet.kill(n * 9));
    fleet.run(Duration::from_secs(seconds));
    let churn = fleet.take_sent_bytes() / (DAEMONS_PER_ZONE - 9) / seconds as usize;
    println!("bytes sent per second and daemon: steady {steady}, with 9 of 89 killed {churn}");
    assert!(steady < CONTROL_BYTES_PER_SECOND / 2, "{steady} B/s");
    assert!(churn < CONTROL_BYTES_PER_SECOND / 2, "{churn} B/s");
}
