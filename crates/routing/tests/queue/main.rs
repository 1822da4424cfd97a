//! The load is played against the admission queue alone, and the tests check what callers get.

#[path = "../cases/mod.rs"]
mod cases;
mod fleet;

use std::time::Duration;

use kumquattiller_base::size::Bytes;
use kumquattiller_routing::queue::Limits;
use proptest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

use crate::fleet::Caller;
use crate::fleet::DEADLINE;
use crate::fleet::Fleet;
use crate::fleet::LIMITS;
use crate::fleet::STEP;

/// Memory of all servers together, in tokens.
const MEMORY: u64 = 15_400_000;
const SECONDS: u64 = 60;

/// Returns callers with prompts of 200,000 to 600,000 tokens, `per_s` of them a second.
fn load(per_s: f64, seed: u64, describe: impl Fn(usize, &mut Caller)) -> Vec<Caller> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let count = (per_s * SECONDS as f64) as usize;
    let mut callers: Vec<Caller> = (0..count)
        .map(|_| Caller {
            arrives: Duration::from_secs(SECONDS).mul_f64(rng.random()),
            tokens: rng.random_range(200_000..600_000),
            urgency: 1,
            ..Caller::default()
        })
        .collect();
    callers.sort_by_key(|caller| caller.arrives);
    callers.iter_mut().enumerate().for_each(|(n, caller)| describe(n, caller));
    callers
}

fn play(callers: Vec<Caller>) -> Vec<Caller> {
    Fleet::new(8, MEMORY, LIMITS, callers).run().callers
}

fn fraction<'a>(
    callers: impl Iterator<Item = &'a Caller>,
    is_counted: impl Fn(&Caller) -> bool,
) -> f64 {
    let (mut all, mut counted) = (0, 0);
    for caller in callers {
        all += 1;
        counted += u32::from(is_counted(caller));
    }
    f64::from(counted) / f64::from(all.max(1))
}

fn is_served(caller: &Caller) -> bool {
    caller.placed.is_some()
}

/// Guards against an account that takes the capacity of the others by asking for more.
#[test_case(1; "first seed")]
#[test_case(2; "second seed")]
fn an_account_that_asks_for_ten_times_its_share_leaves_the_others_theirs(seed: u64) {
    let served = play(load(40.0, seed, |n, caller| caller.account = (n as u64 % 33).min(23)));
    let tokens = |account: u64| -> u64 {
        let own = served.iter().filter(|c| c.account == account && is_served(c));
        own.map(|c| c.tokens).sum()
    };
    let mean = (0..24).map(tokens).sum::<u64>() / 24;
    for account in 0..24 {
        let asked: u64 = served.iter().filter(|c| c.account == account).map(|c| c.tokens).sum();
        let share = mean.min(asked) as f64;
        assert!(tokens(account) as f64 >= 0.9 * share, "{account}: {} of {share}", tokens(account));
    }
}

/// Guards against large prompts that lose against small ones of their kind.
#[test_case(1.1, 1; "slight overload")]
#[test_case(1.6, 2; "overload")]
#[test_case(2.8, 3; "burst")]
fn each_tenth_of_the_sizes_is_served_like_its_kind(factor: f64, seed: u64) {
    let runs = (0..4).map(|run| play(load(25.0 * factor, seed + run * 10, |_, _| {})));
    let mut served: Vec<Caller> = runs.flatten().collect();
    served.sort_by_key(|caller| caller.tokens);
    let all = fraction(served.iter(), is_served);
    for (tenth, callers) in served.chunks(served.len().div_ceil(10)).enumerate() {
        let part = fraction(callers.iter(), is_served);
        assert!(part >= 0.9 * all, "tenth {tenth}: {part} of {all}");
    }
}

/// Guards against a less urgent kind that is served better than a more urgent one.
#[test_case(1.1, 4; "slight overload")]
#[test_case(1.6, 5; "overload")]
#[test_case(2.8, 6; "burst")]
fn a_more_urgent_kind_is_served_at_least_as_well(factor: f64, seed: u64) {
    let served = play(load(25.0 * factor, seed, |n, caller| caller.urgency = n as u8 % 3));
    let kind = |urgency: u8| served.iter().filter(move |c| c.urgency == urgency);
    for urgency in 0..2 {
        for is_counted in [is_served, Caller::is_in_time] {
            let more = fraction(kind(urgency), is_counted);
            let less = fraction(kind(urgency + 1), is_counted);
            assert!(more >= less, "urgency {urgency}: {more}, next {less}");
        }
    }
}

/// Guards against refusals whose Retry-After is a guess: all who were promised to be served.
#[test_case(1.1, 7; "slight overload")]
#[test_case(1.3, 8; "overload")]
#[test_case(2.8, 9; "burst")]
fn callers_that_were_promised_to_be_served_are_not_refused_again(factor: f64, seed: u64) {
    let served = play(load(25.0 * factor, seed, |_, _| {}));
    let returned = || served.iter().filter(|c| c.promised);
    let again = fraction(returned(), |c| c.refusals > 1);
    assert!(returned().count() > 0);
    assert!(again < 0.05, "{again} of {} of {}", returned().count(), served.len());
}

/// Guards against refusals whose Retry-After is a guess: all who return after a burst of seconds.
#[test_case(10; "first seed")]
#[test_case(11; "second seed")]
fn callers_that_return_after_a_burst_are_served(seed: u64) {
    let mut served = load(18.0, seed, |_, _| {});
    let burst = Duration::from_secs(3).div_f64(SECONDS as f64);
    served.extend(
        load(32.0, seed + 100, |_, _| {})
            .into_iter()
            .map(|c| Caller {
                arrives: Duration::from_secs(20) + c.arrives.mul_f64(burst.as_secs_f64()),
                ..c
            })
            .step_by(20),
    );
    served.sort_by_key(|caller| caller.arrives);
    let served = play(served);
    let returned = || served.iter().filter(|c| c.refusals > 0);
    let again = fraction(returned(), |c| c.refusals > 1);
    assert!(returned().count() > 0);
    assert!(again < 0.05, "{again} of {}", returned().count());
}

/// Guards against the largest prompts waiting for ever while small ones take what is released.
#[test]
fn large_prompts_are_not_starved_by_small_ones() {
    let describe = |n: usize, c: &mut Caller| {
        c.tokens = if n.is_multiple_of(500) { 3_000_000 } else { 200_000 };
    };
    let served = play(load(65.0, 9, describe));
    let kind = |large: bool| served.iter().filter(move |c| (c.tokens > 200_000) == large);
    let (large, all) = (fraction(kind(true), is_served), fraction(served.iter(), is_served));
    assert!(large >= 0.9 * all, "{large} of {all}");
}

/// Guards against decisions that change where nothing has to wait.
#[test]
fn light_load_is_placed_at_once() {
    let served = play(load(10.0, 10, |n, caller| {
        caller.urgency = n as u8 % 3;
        caller.account = n as u64 % 2;
    }));
    assert!(served.iter().all(|c| c.refusals == 0 && c.is_in_time()));
}

proptest! {
    #![proptest_config(cases::config(24))]

    /// Whatever the load: the queue is bounded, each caller gets one outcome, and none is placed too
    /// late to be answered before its deadline.
    #[test]
    fn each_caller_gets_one_outcome_in_time(
        seed in any::<u64>(),
        per_s in 5.0..80.0_f64,
        daemons in 1..12_usize,
        entries in 1..20_usize,
        accounts in 1..30_u64,
    ) {
        let limits = Limits { entries, bytes: Bytes::new(1_000_000) };
        let callers = load(per_s, seed, |n, caller| {
            caller.account = n as u64 % accounts;
            caller.urgency = n as u8 % 4;
            if n.is_multiple_of(7) {
                caller.tokens *= 5;
            }
        });
        let fleet = Fleet::new(daemons, MEMORY, limits, callers).run();
        prop_assert!(fleet.longest_queue <= entries);
        for caller in &fleet.callers {
            prop_assert_eq!(caller.outcomes, 1);
            let is_in_time = |start| start + caller.run_time() <= caller.arrives + DEADLINE + STEP;
            prop_assert!(caller.placed.is_none_or(is_in_time), "{:?}", caller);
        }
    }
}
