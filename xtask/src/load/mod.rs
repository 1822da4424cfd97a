//! Load generator: sends a mix of requests to entry daemons and prints latencies and errors.
//!
//! Requests start at random times at a fixed mean rate, whether or not earlier ones have completed.

mod mix;
mod options;
pub mod stats;

use std::time::Duration;
use std::time::Instant;

use indicatif::ProgressBar;
use indicatif::ProgressStyle;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;

use crate::Error;
use crate::Result;
use crate::caller::Caller;
use crate::caller::Completion;
use crate::caller::prompt;
use crate::fleet::Daemon;
use crate::fleet::build;
use crate::slopes::cluster::Cluster;
use crate::slopes::cluster::Size;

pub use mix::Mix;
pub use mix::Shape;
pub use options::Options;
pub use stats::Stats;

/// Number of runner processes, each with its own engine, in a cluster started for the run.
const RUNNERS: usize = 6;

/// Sends the load and prints one JSON object for each band of prompt lengths.
///
/// # Errors
///
/// Fails on invalid options, or when a cluster does not start.
pub fn exec(args: pico_args::Arguments) -> Result {
    let mut options = Options::read(args)?;
    let runtime = tokio::runtime::Runtime::new()?;
    let stats = runtime.block_on(async {
        let cluster = start_cluster_if_needed(&mut options).await?;
        let stats = send_requests(&options).await;
        drop(cluster);
        Ok::<Stats, Error>(stats)
    })?;
    for line in stats.json_lines(&options) {
        println!("{line}");
    }
    Ok(())
}

/// Starts a cluster when no entry daemon is named.
async fn start_cluster_if_needed(options: &mut Options) -> Result<Option<Cluster>, Error> {
    if !options.urls.is_empty() {
        return Ok(None);
    }
    let programs = build(true)?;
    let size = Size { entries: 2, runners: RUNNERS, engines: RUNNERS, accounts: 10 };
    let cluster = Cluster::start(&programs, size, &[]).await?;
    options.urls = cluster.entries.iter().map(Daemon::url).collect();
    Ok(Some(cluster))
}

/// Sends requests with exponential intervals between them and waits for all completions.
pub async fn send_requests(options: &Options) -> Stats {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let caller = Caller::new(&options.credential);
    let bar = progress_bar(options.duration);
    let started = Instant::now();
    let mut requests = JoinSet::new();
    let mut stats = Stats::default();
    let mut next_send = Duration::ZERO;
    let mut sent = 0;
    while next_send < options.duration {
        tokio::time::sleep_until((started + next_send).into()).await;
        let shape = options.mix.sample(&mut rng);
        let url = options.urls[sent % options.urls.len()].clone();
        let seed = options.seed.wrapping_mul(1_000_003).wrapping_add(sent as u64);
        requests.spawn(send_request(caller.clone(), url, options.clone(), shape, seed));
        sent += 1;
        while let Some(Ok((shape, completion))) = requests.try_join_next() {
            stats.record(shape, &completion);
        }
        bar.set_position(next_send.as_millis() as u64);
        bar.set_message(format!("{sent} sent, {} answered", stats.count()));
        let interval = -(1.0 - rng.random::<f64>()).ln() / options.rate;
        next_send += Duration::from_secs_f64(interval);
    }
    while let Some(Ok((shape, completion))) = requests.join_next().await {
        stats.record(shape, &completion);
    }
    bar.finish_and_clear();
    stats
}

/// Sends one request.
async fn send_request(
    caller: Caller,
    url: String,
    options: Options,
    shape: Shape,
    seed: u64,
) -> (Shape, Completion) {
    let text = prompt(shape.prompt.get(), seed);
    let completion = caller
        .complete(&url, &options.model, &text, shape.completion.get(), options.deadline)
        .await;
    (shape, completion)
}

/// Returns a progress bar on standard error.
fn progress_bar(duration: Duration) -> ProgressBar {
    let style = ProgressStyle::with_template("[{elapsed_precise}] {bar:40} {msg}");
    let bar = ProgressBar::new(duration.as_millis() as u64);
    bar.with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}
