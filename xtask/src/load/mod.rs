//! Sends a mix of requests to running entry daemons and prints what callers saw.

mod mix;
mod options;
pub mod tally;

use std::time::Duration;
use std::time::Instant;

use indicatif::ProgressBar;
use indicatif::ProgressStyle;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;

use crate::Failure;
use crate::Outcome;
use crate::caller::Answer;
use crate::caller::Caller;
use crate::caller::prompt;
use crate::fleet::Member;
use crate::fleet::build;
use crate::slopes::rig::Rig;
use crate::slopes::rig::Size;

pub use mix::Mix;
pub use mix::Shape;
pub use options::Options;
pub use tally::Tally;

/// Engines and the runner processes beside them, when a fleet is started for the run.
const RUNNERS: usize = 6;

/// Runs the chore.
///
/// # Errors
///
/// Fails on wrong options.
pub fn exec(args: pico_args::Arguments) -> Outcome {
    let mut options = Options::read(args)?;
    let runtime = tokio::runtime::Runtime::new()?;
    let tally = runtime.block_on(async {
        let rig = start_if_needed(&mut options).await?;
        let tally = send(&options).await;
        drop(rig);
        Ok::<Tally, Failure>(tally)
    })?;
    for line in tally.lines(&options) {
        println!("{line}");
    }
    Ok(())
}

/// Starts a fleet when no entry daemon is named.
async fn start_if_needed(options: &mut Options) -> Result<Option<Rig>, Failure> {
    if !options.urls.is_empty() {
        return Ok(None);
    }
    let programs = build(true)?;
    let size = Size { entries: 2, runners: RUNNERS, engines: RUNNERS, accounts: 10 };
    let rig = Rig::start(&programs, size, &[]).await?;
    options.urls = rig.entries.iter().map(Member::url).collect();
    Ok(Some(rig))
}

/// Sends requests at the rate, with exponential times between them, and waits for all answers.
pub async fn send(options: &Options) -> Tally {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let caller = Caller::new(&options.credential);
    let bar = progress(options.duration);
    let begin = Instant::now();
    let mut calls = JoinSet::new();
    let mut tally = Tally::default();
    let mut next = Duration::ZERO;
    let mut count = 0;
    while next < options.duration {
        tokio::time::sleep_until((begin + next).into()).await;
        let shape = options.mix.sample(&mut rng);
        let url = options.urls[count % options.urls.len()].clone();
        let seed = options.seed.wrapping_mul(1_000_003).wrapping_add(count as u64);
        calls.spawn(call(caller.clone(), url, options.clone(), shape, seed));
        count += 1;
        while let Some(Ok((shape, answer))) = calls.try_join_next() {
            tally.take(shape, &answer);
        }
        bar.set_position(next.as_millis() as u64);
        bar.set_message(format!("{count} sent, {} answered", tally.count()));
        let wait = -(1.0 - rng.random::<f64>()).ln() / options.rate;
        next += Duration::from_secs_f64(wait);
    }
    while let Some(Ok((shape, answer))) = calls.join_next().await {
        tally.take(shape, &answer);
    }
    bar.finish_and_clear();
    tally
}

/// Makes one call.
async fn call(
    caller: Caller,
    url: String,
    options: Options,
    shape: Shape,
    seed: u64,
) -> (Shape, Answer) {
    let text = prompt(shape.prompt.get(), seed);
    let answer =
        caller.complete(&url, &options.model, &text, shape.answer.get(), options.deadline).await;
    (shape, answer)
}

/// Returns the bar that shows how far the run is, on standard error.
fn progress(duration: Duration) -> ProgressBar {
    let style = ProgressStyle::with_template("[{elapsed_precise}] {bar:40} {msg}");
    let bar = ProgressBar::new(duration.as_millis() as u64);
    bar.with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}
