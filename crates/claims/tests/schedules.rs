//! Property tests over generated schedules of faults: the request of a key starts at most once, and
//! a caller is told "not run" only if its request did not run.

mod fleet;

use fleet::Fleet;
use fleet::Step;
use proptest::collection::vec;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestCaseError;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

/// Seed of the generated schedules.
const SEED: [u8; 32] = [7; 32];
/// Number of schedules if `KUMQUATTILLER_CASES` is not set.
const DEFAULT_CASES: u32 = 2_000;
/// Exclusive limit on the steps of a schedule.
const MAX_STEPS: usize = 120;

fn cases() -> u32 {
    std::env::var("KUMQUATTILLER_CASES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_CASES)
}

fn runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &SEED))
}

fn problems(steps: &[Step], ignores_versions: bool) -> Vec<String> {
    let mut fleet = Fleet::new(ignores_versions);
    fleet.run(steps);
    fleet.problems
}

#[test]
fn a_key_starts_at_most_once_and_never_if_reported_as_not_run() {
    let outcome = runner(cases()).run(&vec(fleet::step(), 0..MAX_STEPS), |steps| {
        let problems = problems(&steps, false);
        if problems.is_empty() { Ok(()) } else { Err(TestCaseError::fail(problems.join("; "))) }
    });
    if let Err(error) = outcome {
        panic!("{error}");
    }
}

/// Checks that the property test above can detect a double start: without the version check of the
/// store, some schedule starts a key twice.
#[test]
fn a_store_that_ignores_versions_lets_a_key_start_twice() {
    let outcome = runner(DEFAULT_CASES).run(&vec(fleet::step(), 0..MAX_STEPS), |steps| {
        let problems = problems(&steps, true);
        if problems.iter().any(|problem| problem.contains("started")) {
            return Err(TestCaseError::fail("started twice"));
        }
        Ok(())
    });
    assert!(outcome.is_err(), "no schedule started a key twice");
}
