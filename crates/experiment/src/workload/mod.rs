//! Requests of a run, which are drawn from the seed before the run begins.

mod job;
mod mix;

use std::time::Duration;

use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::deployment::Deployment;
use crate::model::Model;

pub use job::Job;
pub use mix::Mix;
pub use mix::prefix_hashes;

/// Number of drawn requests from which the mean cost of a request is estimated.
const CAPACITY_DRAWS: usize = 50_000;

/// Seed of the requests from which the mean cost is estimated.
const CAPACITY_SEED: u64 = 0;

/// Returns the requests per second at which the memory of a perfectly balanced fleet is full,
/// without cached prefixes.
///
/// Computing a prompt delays concurrent answers, which hold their memory for longer. A fleet that
/// spends a share `c` of its time on computing prompts decodes for `1 - c` of it, so its memory is
/// full when the requests would take a share `1 - c` of it on idle engines. At capacity, the
/// computing time per engine and second, and the share of memory times the time that requests hold
/// it, add up to one.
pub fn capacity(deployment: Deployment, model: &Model) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(CAPACITY_SEED);
    let mut mix = Mix::new(deployment, model);
    let pace = model.pace();
    let (mut computing, mut memory) = (0.0, 0.0);
    for _ in 0..CAPACITY_DRAWS {
        let job = mix.draw(Moment::ZERO, &mut rng);
        computing += pace.prefill_time(job.prompt).as_secs_f64();
        let share = job.footprint().get() as f64 / model.memory.get() as f64;
        memory += share * pace.service_time(job.prompt, job.answer).as_secs_f64();
    }
    deployment.runners() as f64 * CAPACITY_DRAWS as f64 / (computing + memory)
}

/// Draws the requests that arrive during `span` at `load` times the capacity, ordered by arrival.
pub fn draw(
    deployment: Deployment,
    model: &Model,
    load: f64,
    seed: u64,
    span: Duration,
) -> Vec<Job> {
    let rate = capacity(deployment, model) * load;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut mix = Mix::new(deployment, model);
    let mut jobs = Vec::new();
    let mut at = 0.0;
    loop {
        at += exponential(1.0 / rate, &mut rng);
        if at >= span.as_secs_f64() {
            return jobs;
        }
        jobs.push(mix.draw(Moment::ZERO + Duration::from_secs_f64(at), &mut rng));
    }
}

/// Draws from an exponential distribution.
pub(crate) fn exponential(mean: f64, rng: &mut ChaCha8Rng) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

/// Draws from a Pareto distribution bounded to the range from `low` to `high`.
fn pareto(low: f64, high: f64, shape: f64, rng: &mut ChaCha8Rng) -> Tokens {
    let uniform: f64 = rng.random();
    let mass = 1.0 - (low / high).powf(shape);
    Tokens::new((low / (1.0 - uniform * mass).powf(1.0 / shape)) as u64)
}

/// Draws from a log-normal distribution.
fn log_normal(mean: f64, sigma: f64, rng: &mut ChaCha8Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * rng.random::<f64>()).cos();
    (mean.ln() - sigma * sigma / 2.0 + sigma * normal).exp()
}
