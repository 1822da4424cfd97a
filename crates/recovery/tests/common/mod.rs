//! Configuration shared by the property tests.

use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

const DEFAULT_CASES: u32 = 1_000;

/// Returns a test runner with a fixed seed; `KUMQUATTILLER_CASES` overrides the number of cases.
pub fn runner(seed: u8) -> TestRunner {
    let cases = std::env::var("KUMQUATTILLER_CASES").ok().and_then(|text| text.parse().ok());
    let cases = cases.unwrap_or(DEFAULT_CASES);
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]))
}
