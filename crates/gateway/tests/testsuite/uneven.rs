//! What callers get where demand is uneven, played against the placement code.

use kumquattiller_base::size::Tokens;
use kumquattiller_gateway::engine::Profile;

use crate::replay::Fleet;
use crate::replay::Kind;
use crate::replay::Outcome;

/// Profile of an engine with few slots.
const PROFILE: Profile = Profile {
    slots: 12,
    memory: Tokens::new(197_200),
    step_ms: 1.02,
    step_ms_per_sequence: 0.005,
    context_ms_per_k: 0.0025,
    prefill_tokens_per_ms: 206.0,
    pairs_ms_per_m: 0.138,
    stride: 48,
};

/// Time before the measurement begins, in milliseconds.
const WARM_UP_MS: u64 = 5_000;
/// Time for which a mix lasts, in milliseconds.
const MIX_MS: u64 = 10_000;
/// Time after a jump of the mix in which the demand is not yet well known, in milliseconds.
const AFTER_JUMP_MS: u64 = 2_000;

/// Requests per second of a kind on a quiet day.
fn quiet(kind: Kind) -> f64 {
    match kind {
        Kind::Short => 115.0,
        Kind::Long => 9.0,
        Kind::VeryLong => 4.5,
    }
}

/// Mix that jumps every ten seconds.
fn alternating(kind: Kind, at_ms: u64) -> f64 {
    let many_short = (at_ms / MIX_MS) % 2 == 1;
    let factor = match (kind, many_short) {
        (Kind::Short, true) => 2.75,
        (Kind::Short, false) => 0.33,
        (_, true) => 0.05,
        (_, false) => 2.8,
    };
    quiet(kind) * factor
}

/// Returns the fraction of the short streams of a time window that are late or not served.
fn late_fraction(outcomes: &[Outcome], window: impl Fn(u64) -> bool) -> f64 {
    let is_short = |o: &&Outcome| o.kind == Kind::Short && window(o.arrived_ms);
    let short: Vec<&Outcome> = outcomes.iter().filter(is_short).collect();
    short.iter().filter(|o| !o.is_on_time()).count() as f64 / short.len() as f64
}

/// Guards against packing short streams so closely that passes become long and the prompts that
/// arrive during one pass add up: 14 % of the short streams were late.
#[test]
fn few_short_streams_are_late_on_a_quiet_day() {
    let outcomes = Fleet::new(PROFILE, 78, 23, 1).play(30_000, |kind, _| quiet(kind));
    let late = late_fraction(&outcomes, |at_ms| at_ms > WARM_UP_MS);
    assert!(late < 0.06, "{late}");
}

/// Guards against a jump to many short prompts finding only the servers that few short prompts
/// needed: 18 to 25 % of the short streams of the first two seconds were late.
#[test]
fn few_short_streams_are_late_after_a_jump_of_the_mix() {
    let outcomes = Fleet::new(PROFILE, 78, 23, 2).play(40_000, alternating);
    let late =
        late_fraction(&outcomes, |at_ms| at_ms / MIX_MS % 2 == 1 && at_ms % MIX_MS < AFTER_JUMP_MS);
    assert!(late < 0.08, "{late}");
}

/// Guards against servers that are slow for long getting as many short streams as the others.
#[test]
fn few_short_streams_are_late_with_some_slow_servers() {
    let mut fleet = Fleet::new(PROFILE, 78, 23, 3);
    fleet.paces.iter_mut().step_by(9).for_each(|pace| *pace = 5.0);
    let outcomes = fleet.play(30_000, |kind, _| quiet(kind));
    let late = late_fraction(&outcomes, |at_ms| at_ms > WARM_UP_MS);
    assert!(late < 0.06, "{late}");
}
