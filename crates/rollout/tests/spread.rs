//! Distribution of versions over processes that are paused, isolated and restarted, also during
//! store outages.

mod fleet;

use std::time::Duration;

use fleet::Fault;
use fleet::Fleet;
use kumquattiller_base::time::Moment;
use kumquattiller_rollout::replica::FRESHNESS_LIMIT;
use kumquattiller_rollout::replica::State;
use proptest::prelude::*;

/// Seed of the generated cases.
const SEED: u64 = 0x5eed_0003;
/// Longest time from the acceptance of a version until all healthy processes have it.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(4);

fn config() -> ProptestConfig {
    let cases = std::env::var("KUMQUATTILLER_CASES").ok().and_then(|n| n.parse().ok());
    ProptestConfig {
        cases: cases.unwrap_or(24),
        rng_seed: proptest::test_runner::RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn seconds(seconds: u64) -> Moment {
    Moment::from_millis(seconds * 1_000)
}

fn fault() -> impl Strategy<Value = (usize, u64, u64, Fault)> {
    let kind = prop_oneof![
        Just(Fault::Pause),
        Just(Fault::Isolate),
        Just(Fault::Restart),
        Just(Fault::StoreOutage),
    ];
    (0..64_usize, 1..40_u64, 1..25_u64, kind)
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn accepted_versions_take_effect_in_time_and_never_revert(
        seed in any::<u64>(),
        commits in prop::collection::vec(0..45_u64, 1..12),
        faults in prop::collection::vec(fault(), 0..6),
    ) {
        let mut fleet = Fleet::new(seed, 3, 8, 3);
        for second in commits {
            fleet.commit_at(seconds(second) + Duration::from_millis(500));
        }
        for (process, at, duration, fault) in faults {
            fleet.fault_at(seconds(at), Duration::from_secs(duration), process, fault);
        }
        for second in 1..60 {
            fleet.run_until(seconds(second));
            // The first bound does not apply to processes that had a fault of their own in that
            // time; the second applies to all.
            let lagging = fleet.lagging(IN_FORCE_LIMIT);
            prop_assert!(lagging.is_empty(), "lagging at {second} s: {:?}", lagging);
            let outdated = fleet.ready_but_outdated(FRESHNESS_LIMIT + IN_FORCE_LIMIT);
            prop_assert!(outdated.is_empty(), "ready but outdated at {second} s: {:?}", outdated);
        }
        prop_assert_eq!(fleet.reverts(), 0);
    }
}

#[test]
fn isolated_process_reports_stale_and_returns() {
    let mut fleet = Fleet::new(1, 3, 8, 3);
    fleet.fault_at(seconds(5), Duration::from_secs(20), 4, Fault::Isolate);
    fleet.commit_at(seconds(7));
    fleet.run_until(seconds(14));
    assert!(fleet.state(4).is_ready(), "isolated for less than the freshness limit");
    fleet.run_until(seconds(24));
    assert!(matches!(fleet.state(4), State::Stale { .. }));
    fleet.run_until(seconds(29));
    assert_eq!(fleet.state(4), State::Fresh);
    assert_eq!(fleet.version(4), fleet.accepted());
}

#[test]
fn process_started_during_an_outage_takes_the_highest_version_of_its_peers() {
    let mut fleet = Fleet::new(2, 3, 8, 3);
    (1..6).for_each(|second| fleet.commit_at(seconds(second)));
    fleet.fault_at(seconds(10), Duration::from_secs(300), 0, Fault::StoreOutage);
    fleet.fault_at(seconds(200), Duration::from_secs(1), 4, Fault::Restart);
    fleet.run_until(seconds(200));
    assert!(fleet.state(5).is_ready(), "a store outage alone leaves processes ready");
    fleet.run_until(seconds(201));
    assert_eq!(fleet.state(4), State::Empty);
    fleet.run_until(seconds(205));
    assert_eq!(fleet.state(4), State::Fresh);
    assert_eq!(fleet.version(4), fleet.accepted());
}

#[test]
fn process_paused_over_versions_is_not_ready_when_it_resumes() {
    let mut fleet = Fleet::new(3, 3, 8, 3);
    fleet.fault_at(seconds(5), Duration::from_secs(20), 4, Fault::Pause);
    (6..20).for_each(|second| fleet.commit_at(seconds(second)));
    fleet.run_until(seconds(25) - Duration::from_micros(1));
    assert!(!fleet.state(4).is_ready(), "ready before the pause ends");
    fleet.run_until(seconds(29));
    assert_eq!(fleet.version(4), fleet.accepted());
    assert_eq!(fleet.reverts(), 0);
}

/// Guards against an outdated version after a pause: two processes that resume together, without
/// access to the store or other peers, must not confirm their versions to each other.
#[test]
fn processes_that_resume_together_do_not_confirm_each_other() {
    let mut fleet = Fleet::new(4, 1, 8, 0);
    fleet.fault_at(seconds(5), Duration::from_secs(30), 3, Fault::Pause);
    fleet.fault_at(seconds(5), Duration::from_secs(30), 4, Fault::Pause);
    fleet.commit_at(seconds(10));
    for process in [0, 1, 2, 5, 6, 7] {
        fleet.fault_at(seconds(30), Duration::from_secs(60), process, Fault::Isolate);
    }
    fleet.fault_at(seconds(30), Duration::from_secs(60), 0, Fault::StoreOutage);
    fleet.run_until(seconds(60));
    assert!(!fleet.state(3).is_ready());
    assert!(!fleet.state(4).is_ready());
}
