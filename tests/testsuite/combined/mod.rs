//! Pairs of faults drawn from a seed, under load, and all promises checked together.
//!
//! Whatever the timing of the processes, the promises have to hold, so the verdict of a seed does
//! not depend on the machine's speed. `KUMQUATTILLER_COMBINED` sets the number of seeds.

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

/// Seeds of a run without `KUMQUATTILLER_COMBINED`.
const DEFAULT_SEEDS: u64 = 2;
/// Pairs of faults for each seed.
const ROUNDS: usize = 4;
/// Time between two pairs of faults.
const ROUND_PAUSE: Duration = Duration::from_millis(700);
/// Bound on memory that is held without an owner after the last fault.
const MEMORY_LIMIT: Duration = Duration::from_secs(5);
/// Steps of the engines a second, against those of the two-year size.
const ENGINE_SPEED: f64 = 4.0;

fn seeds() -> u64 {
    let text = std::env::var("KUMQUATTILLER_COMBINED").ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_SEEDS)
}

#[tokio::test(flavor = "multi_thread")]
async fn all_promises_hold_under_pairs_of_faults() {
    for seed in 0..seeds() {
        run(seed).await;
    }
}

/// Runs one seed.
async fn run(seed: u64) {
    let mut engine = engine::Settings::default();
    engine.timing.speed = ENGINE_SPEED;
    let mut fleet = fleet().entries(2).engines(3).services(1).engine(engine).start().await;
    let load = Load::start(&fleet, seed);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    for _ in 0..ROUNDS {
        let pair = Fault::draw_pair(&mut rng);
        println!("seed {seed}: {pair:?}");
        for fault in pair {
            fault.begin(&mut fleet).await;
            sleep(Duration::from_millis(rng.random_range(0..300))).await;
        }
        sleep(ROUND_PAUSE).await;
        for fault in pair {
            fault.end(&mut fleet).await;
        }
        sleep(ROUND_PAUSE).await;
    }
    let report = load.stop().await;
    println!("seed {seed}: {report}");
    report.check(&fleet, seed);
    memory_is_free(&fleet, seed).await;
}

/// Checks that no engine holds memory once nothing runs.
async fn memory_is_free(fleet: &Fleet, seed: u64) {
    let what = format!("free memory of every engine after seed {seed}");
    wait::until(&what, MEMORY_LIMIT, async || {
        (0..3).all(|index| fleet.engine(index).kv_held() == 0)
    })
    .await;
}
