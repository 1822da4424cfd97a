//! Tests of the routing decision.

use std::time::Duration;

use kumquattiller_base::account::Rank;
use kumquattiller_base::error::Kind;
use kumquattiller_base::runner::Id;
use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;
use kumquattiller_routing::band::Band;
use kumquattiller_routing::load::Load;
use kumquattiller_routing::pace::Pace;
use kumquattiller_routing::policy::Policy;
use kumquattiller_routing::request::Request;
use kumquattiller_routing::router::Router;
use kumquattiller_routing::table::Distance;
use kumquattiller_routing::table::Table;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const CAPACITY: Tokens = Tokens::new(450_000);

fn id(number: usize) -> Id {
    format!("runner-{number}").parse().unwrap()
}

fn request(prompt: u64, tried: &[Id]) -> Request<'_> {
    Request {
        prompt: Tokens::new(prompt),
        max_response: Tokens::new(300),
        prefix_hashes: &[],
        rank: Rank::ZERO,
        remaining: Duration::from_secs(30),
        tried,
    }
}

fn table(count: usize) -> Table {
    let mut table = Table::default();
    for number in 0..count {
        table.insert(id(number), "pasig".parse().unwrap(), Distance::OwnZone);
        let load = Load { capacity: CAPACITY, ..Load::default() };
        table.report(&id(number), load, Moment::ZERO);
    }
    table
}

#[test_case(1_000, Band::UpTo8k; "smallest prompt")]
#[test_case(8_000, Band::UpTo8k; "upper end of the short band")]
#[test_case(8_001, Band::From8kTo100k; "lower end of the middle band")]
#[test_case(100_000, Band::From8kTo100k; "upper end of the middle band")]
#[test_case(100_001, Band::Over100k; "lower end of the long band")]
fn band_of(prompt: u64, band: Band) {
    assert_eq!(Band::of(Tokens::new(prompt)), band);
}

#[test_case(Policy::RoundRobin; "round robin")]
#[test_case(Policy::LeastOutstanding; "least outstanding")]
#[test_case(Policy::TwoChoices; "two choices")]
#[test_case(Policy::KumquattillerV1; "kumquattiller v1")]
#[test_case(Policy::Kumquattiller; "kumquattiller")]
fn never_picks_a_runner_that_is_closed_or_tried(policy: Policy) {
    let mut table = table(6);
    table.report(&id(0), Load { draining: true, ..Load::default() }, Moment::ZERO);
    table.set_reachable(&id(1), false);
    let tried = [id(2), id(3)];
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut router = Router::new(policy, Pace::default());
    for prompt in [1_000, 50_000, 300_000].repeat(20) {
        let request = request(prompt, &tried);
        let choice = router.choose(&table, &request, Moment::ZERO, &mut rng).unwrap();
        assert!([id(4), id(5)].contains(&choice.runner));
    }
}

#[test_case(Policy::RoundRobin; "round robin")]
#[test_case(Policy::LeastOutstanding; "least outstanding")]
#[test_case(Policy::TwoChoices; "two choices")]
#[test_case(Policy::Kumquattiller; "kumquattiller")]
fn refuses_when_no_runner_is_open(policy: Policy) {
    let mut table = table(2);
    table.set_reachable(&id(0), false);
    let tried = [id(1)];
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut router = Router::new(policy, Pace::default());
    let refusal =
        router.choose(&table, &request(1_000, &tried), Moment::ZERO, &mut rng).unwrap_err();
    assert_eq!(refusal.kind, Kind::NoRunner);
    assert!(!refusal.retry_after.is_zero());
}

#[test]
fn short_prompts_keep_away_from_long_prefill() {
    let mut table = table(2);
    table.sent(&id(0), &request(300_000, &[]));
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut router = Router::new(Policy::Kumquattiller, Pace::default());
    let choice = router.choose(&table, &request(1_000, &[]), Moment::ZERO, &mut rng).unwrap();
    assert_eq!(choice.runner, id(1));
}

#[test]
fn removal_keeps_the_other_runners() {
    let mut table = table(4);
    table.remove(&id(1));
    assert_eq!(table.len(), 3);
    assert!(table.get(&id(1)).is_none());
    for number in [0, 2, 3] {
        assert_eq!(table.get(&id(number)).unwrap().id, id(number));
    }
}
