//! Injects random pairs of faults under load and checks all promises of docs/PROMISES.md together.
//!
//! The promises have to hold for every timing of the processes, so the result of a seed does not
//! depend on the speed of the machine. `KUMQUATTILLER_COMBINED` sets the number of seeds.

mod fault;
mod load;
mod report;

use std::time::Duration;

use kumquattiller_standins::engine;
use kumquattiller_support::fleet::Fleet;
use kumquattiller_support::wait;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use crate::combined::fault::Fault;
use crate::combined::load::Load;
use crate::support::fleet;

/// Number of seeds when `KUMQUATTILLER_COMBINED` is not set.
const DEFAULT_SEEDS: u64 = 2;
/// Number of pairs of faults for each seed.
const ROUNDS: usize = 4;
/// Time for which a pair of faults lasts, and time until the next pair.
const ROUND_PAUSE: Duration = Duration::from_millis(700);
/// Longest time after the last request until the engines have released memory without an owner.
const RELEASE_LIMIT: Duration = Duration::from_secs(5);
/// Speed of the engines relative to those of the two-year capacity target.
const ENGINE_SPEED: f64 = 4.0;

fn seed_count() -> u64 {
    let text = std::env::var("KUMQUATTILLER_COMBINED").ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_SEEDS)
}

#[tokio::test(flavor = "multi_thread")]
async fn all_promises_hold_under_pairs_of_faults() {
    for seed in 0..seed_count() {
        run_seed(seed).await;
    }
}

/// Runs the faults and the load of one seed and checks the promises.
async fn run_seed(seed: u64) {
    let mut engine = engine::Settings::default();
    engine.timing.speed = ENGINE_SPEED;
    let mut fleet = fleet().entries(2).engines(3).services(1).engine(engine).start().await;
    let load = Load::start(&fleet, seed);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    for _ in 0..ROUNDS {
        let pair = Fault::draw_pair(&mut rng);
        println!("seed {seed}: {pair:?}");
        for fault in pair {
            fault.inject(&mut fleet).await;
            sleep(Duration::from_millis(rng.random_range(0..300))).await;
        }
        sleep(ROUND_PAUSE).await;
        for fault in pair {
            fault.repair(&mut fleet).await;
        }
        sleep(ROUND_PAUSE).await;
    }
    let report = load.stop().await;
    println!("seed {seed}: {report}");
    report.check(&fleet, seed);
    wait_until_memory_is_free(&fleet, seed).await;
}

/// Waits until no engine holds memory, as no request runs any more.
async fn wait_until_memory_is_free(fleet: &Fleet, seed: u64) {
    let what = format!("free memory of every engine after seed {seed}");
    wait::until(&what, RELEASE_LIMIT, async || {
        (0..3).all(|index| fleet.engine(index).kv_held() == 0)
    })
    .await;
}
