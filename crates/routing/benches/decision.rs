//! Benchmarks the time of a routing decision by the number of runners of the service.
//!
//! In `decision` the table holds the subset of runners that a daemon connects to. In
//! `decision_whole_fleet` it holds all runners.

use std::hint::black_box;
use std::time::Duration;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use kumquattiller_base::account::Rank;
use kumquattiller_base::runner::Id;
use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;
use kumquattiller_routing::load::Load;
use kumquattiller_routing::pace::Pace;
use kumquattiller_routing::policy::Policy;
use kumquattiller_routing::request::Request;
use kumquattiller_routing::router::Router;
use kumquattiller_routing::subset;
use kumquattiller_routing::subset::Place;
use kumquattiller_routing::subset::Sizes;
use kumquattiller_routing::table::Table;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const FLEET_SIZES: [usize; 4] = [10, 100, 1_000, 10_000];
const ZONES: usize = 18;
const REGIONS: usize = 5;

fn place(number: usize) -> Place {
    let zone = number % ZONES;
    Place {
        region: format!("region-{}", zone % REGIONS).parse().expect("a valid name"),
        zone: format!("zone-{zone}").parse().expect("a valid name"),
    }
}

fn table(fleet: usize, sizes: &Sizes) -> Table {
    let name = |n| format!("runner-{n}").parse().expect("a valid name");
    let runners: Vec<(Id, Place)> = (0..fleet).map(|n| (name(n), place(n))).collect();
    let daemon = "entry-1".parse().expect("a valid name");
    let all = runners.iter().map(|(id, place)| (id, place));
    let mut table = Table::default();
    for (id, distance) in subset::pick(&daemon, &place(0), all, sizes) {
        table.insert(id.clone(), place(0).zone, distance);
        let held = Tokens::new(xorshift(table.len() as u64) % 400_000);
        let load = Load { capacity: Tokens::new(450_000), held, running: 40, ..Load::default() };
        table.report(id, load, Moment::ZERO);
    }
    table
}

/// Returns a pseudo-random number, to give the runners different loads.
const fn xorshift(number: u64) -> u64 {
    let number = number ^ (number << 13);
    let number = number ^ (number >> 7);
    number ^ (number << 17)
}

fn bench_fleets(criterion: &mut Criterion, group: &str, sizes: &Sizes) {
    let mut group = criterion.benchmark_group(group);
    for fleet in FLEET_SIZES {
        let table = table(fleet, sizes);
        let mut router = Router::new(Policy::Kumquattiller, Pace::default());
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let mut number = 0;
        group.bench_function(BenchmarkId::from_parameter(fleet), |b| {
            b.iter(|| {
                number += 1;
                let prefix_hashes = [number % 512, number % 4_096, number];
                let request = Request {
                    prompt: Tokens::new(if number % 50 == 0 { 200_000 } else { 2_500 }),
                    max_response: Tokens::new(512),
                    prefix_hashes: &prefix_hashes,
                    rank: Rank::ZERO,
                    remaining: Duration::from_secs(30),
                    tried: &[],
                };
                let now = Moment::from_micros(number * 20_000);
                router.choose(black_box(&table), &request, now, &mut rng).is_ok()
            });
        });
    }
    group.finish();
}

fn decisions(criterion: &mut Criterion) {
    bench_fleets(criterion, "decision", &Sizes::default());
    let all = Sizes { own_zone: usize::MAX, own_region: usize::MAX, other_region: usize::MAX };
    bench_fleets(criterion, "decision_whole_fleet", &all);
}

criterion_group!(benches, decisions);
criterion_main!(benches);
