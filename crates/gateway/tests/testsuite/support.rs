//! Helpers shared by several test modules.

use kumquattiller_base::size::Tokens;
use kumquattiller_gateway::engine::Profile;
use proptest::prelude::ProptestConfig;
use proptest::test_runner::RngSeed;

/// Number of cases of a property.
const CASES: u32 = 200;

/// Profile of an engine on the users' platform.
pub const PROFILE: Profile = Profile {
    slots: 16,
    memory: Tokens::new(450_000),
    step_ms: 0.925,
    step_ms_per_sequence: 0.00483,
    context_ms_per_k: 0.00254,
    prefill_tokens_per_ms: 256.0,
    pairs_ms_per_m: 0.0917,
    stride: 46,
};

/// Returns a configuration for properties with a fixed seed.
pub fn cases(seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases: CASES,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}
