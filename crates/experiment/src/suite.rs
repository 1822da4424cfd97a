//! Runs all combinations of deployments, policies, loads and seeds in parallel.

use std::num::NonZero;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use kumquattiller_base::time::Moment;
use kumquattiller_routing::policy::Policy;

use crate::deployment::Deployment;
use crate::metrics;
use crate::metrics::Label;
use crate::metrics::Line;
use crate::options::Options;
use crate::options::WARM_UP;
use crate::workload;
use crate::world::World;

/// Maximum number of threads, to leave processors for other work on the machine.
const MAX_THREADS: usize = 5;

/// Inputs of one run.
#[derive(Debug, Clone, Copy)]
struct Case {
    deployment: Deployment,
    policy: Policy,
    load: f64,
    seed: u64,
}

/// Runs all cases and returns their lines in the order of the cases.
pub fn run(options: &Options) -> Vec<Line> {
    let cases = cases(options);
    let next = AtomicUsize::new(0);
    let results = Mutex::new(vec![Vec::new(); cases.len()]);
    let threads = std::thread::available_parallelism().map_or(1, NonZero::get).min(MAX_THREADS);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                while let Some(index) = next_index(&next, cases.len()) {
                    let lines = run_case(cases[index], options);
                    results.lock().expect("no thread panicked")[index] = lines;
                }
            });
        }
    });
    results.into_inner().expect("no thread panicked").concat()
}

fn next_index(next: &AtomicUsize, count: usize) -> Option<usize> {
    let index = next.fetch_add(1, Ordering::Relaxed);
    (index < count).then_some(index)
}

fn cases(options: &Options) -> Vec<Case> {
    let mut cases = Vec::new();
    for &deployment in &options.deployments {
        for &policy in &options.policies {
            for &load in &options.loads {
                cases.extend(options.seeds.iter().map(|&seed| Case {
                    deployment,
                    policy,
                    load,
                    seed,
                }));
            }
        }
    }
    cases
}

fn run_case(case: Case, options: &Options) -> Vec<Line> {
    let Case { deployment, policy, load, seed } = case;
    let jobs = workload::draw(deployment, &options.model, load, seed, options.span);
    let world = World::new(deployment, options.model, policy, jobs, seed);
    let label =
        Label { deployment: deployment.to_string(), policy: policy.to_string(), load, seed };
    metrics::lines(&label, &options.model, &world.run(), Moment::ZERO + WARM_UP)
}
