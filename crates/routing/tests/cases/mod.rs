//! Configuration of property tests.

use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

/// Environment variable that overrides the number of cases.
const CASES_VARIABLE: &str = "KUMQUATTILLER_CASES";

/// Seed of the generated cases.
const SEED: u64 = 5;

/// Returns the configuration, with the number of cases from the environment if it is set.
pub fn config(default_cases: u32) -> Config {
    let cases = std::env::var(CASES_VARIABLE).ok().and_then(|text| text.parse().ok());
    Config {
        cases: cases.unwrap_or(default_cases),
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    }
}
