//! What callers get with drawn engines and mixes, compared with placement by least work.

use kumquattiller_base::size::Tokens;
use kumquattiller_gateway::engine::Profile;
use proptest::prelude::*;

use crate::replay::Fleet;
use crate::replay::Kind;
use crate::support::cases;

/// Fixed seed of the property's cases.
const SEED: u64 = 0x5eed_0105;
/// Time that is played for each case, in milliseconds.
const PLAYED_MS: u64 = 5_000;

prop_compose! {
    fn profiles()(
        slots in 6..24_u32,
        memory in 150_000..600_000_u64,
        step_ms in 0.5..2.0,
        prefill_tokens_per_ms in 80.0..500.0,
        pairs_ms_per_m in 0.02..0.3,
        stride in 16..64_u32,
    ) -> Profile {
        Profile {
            slots,
            memory: Tokens::new(memory),
            step_ms,
            step_ms_per_sequence: 0.005,
            context_ms_per_k: 0.0025,
            prefill_tokens_per_ms,
            pairs_ms_per_m,
            stride,
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { max_shrink_iters: 0, ..cases(SEED) })]

    /// Guards against a constant that fits one engine only. `busy` is the prefill work of each kind,
    /// as a fraction of what the engines do.
    #[test]
    fn callers_get_no_less_than_with_least_work(
        profile in profiles(),
        engines in 6..20_usize,
        short_busy in 0.02..0.2,
        long_busy in 0.0..0.2,
        slow in proptest::option::of(2.0..6.0_f64),
        seed: u64,
    ) {
        let value = |least_work: bool| {
            let mut fleet = Fleet::new(profile, engines, 3, seed);
            fleet.least_work = least_work;
            fleet.paces[0] = slow.unwrap_or(1.0);
            let work_ms = |tokens| profile.prefill_ms(Tokens::new(tokens)) / 1e3;
            let outcomes = fleet.play(PLAYED_MS, |kind, _| match kind {
                Kind::Short => engines as f64 * short_busy / work_ms(5_000),
                Kind::Long => engines as f64 * long_busy / work_ms(45_000),
                Kind::VeryLong => 0.0,
            });
            outcomes.iter().filter(|o| o.is_on_time()).map(|o| o.value).sum::<f64>()
        };
        let (placed, least_work) = (value(false), value(true));
        prop_assert!(placed >= least_work, "{placed} < {least_work}");
    }
}
