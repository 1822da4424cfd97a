//! Measures what the path through the programs adds to calling an engine directly.

use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::task::JoinSet;

use crate::Failure;
use crate::Outcome;
use crate::caller::Answer;
use crate::caller::Caller;
use crate::caller::Ended;
use crate::caller::prompt;
use crate::fleet::build;
use crate::load::tally;
use crate::slopes::rig::CREDENTIAL;
use crate::slopes::rig::MODEL;
use crate::slopes::rig::Rig;
use crate::slopes::rig::Size;

/// Requests a second to the entry daemon, as at the two-year size.
const RATE: f64 = 46.0;
/// Time for which requests are sent.
const DURATION: Duration = Duration::from_secs(30);
/// Deadline of the requests.
const DEADLINE: Duration = Duration::from_secs(30);
/// Engines with runner processes beside them. As many more are called directly: a runner process
/// cancels streams on its engine that are not its own.
const RUNNERS: usize = 6;
/// Factor by which the engines run faster than their time model.
const ENGINE_SPEED: u32 = 10;
/// Tokens of each prompt.
const PROMPT_TOKENS: u64 = 1_000;
/// Tokens of each answer.
const ANSWER_TOKENS: u64 = 4;

/// One of the two ways.
#[derive(Debug)]
struct Way {
    name: &'static str,
    first_token: Histogram<u64>,
    total: Histogram<u64>,
    done: u64,
    other: u64,
}

/// Runs the chore: prints one JSON object for each way and one for the difference.
///
/// # Errors
///
/// Fails when the fleet does not start.
pub fn exec(mut args: pico_args::Arguments) -> Outcome {
    let rate: f64 = args.opt_value_from_str("--rate")?.unwrap_or(RATE);
    let seconds: Option<u64> = args.opt_value_from_str("--duration")?;
    let duration = seconds.map_or(DURATION, Duration::from_secs);
    if !args.finish().is_empty() {
        return Err("usage: cargo xtask overhead [--rate N] [--duration S]".into());
    }
    let programs = build(true)?;
    tokio::runtime::Runtime::new()?.block_on(async {
        let size = Size { entries: 1, runners: RUNNERS, engines: 2 * RUNNERS, accounts: 10 };
        let engine = ["--speed".to_owned(), ENGINE_SPEED.to_string()];
        let rig = Rig::start(&programs, size, &engine).await?;
        let ways = send(&rig, rate, duration).await?;
        print(&ways, rate);
        Ok(())
    })
}

/// Sends half of the requests directly and the others through the entry daemon, each at `rate`.
async fn send(rig: &Rig, rate: f64, duration: Duration) -> Result<[Way; 2], Failure> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let caller = Caller::new(CREDENTIAL);
    let begin = Instant::now();
    let mut calls = JoinSet::new();
    let mut next = Duration::ZERO;
    let mut count = 0;
    while next < duration {
        tokio::time::sleep_until((begin + next).into()).await;
        let through = rng.random::<bool>();
        let engine = rig.engines[RUNNERS + count % RUNNERS].url.clone();
        let entry = rig.entries[0].url();
        let caller = caller.clone();
        calls.spawn(async move {
            let text = prompt(PROMPT_TOKENS, count as u64);
            let answer = if through {
                caller.complete(&entry, MODEL, &text, ANSWER_TOKENS, DEADLINE).await
            } else {
                let id = format!("direct-{count}");
                caller.complete_on_engine(&engine, &id, MODEL, &text, ANSWER_TOKENS).await
            };
            (through, answer)
        });
        count += 1;
        next += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / (2.0 * rate));
    }
    let mut ways = [Way::new("direct"), Way::new("through")];
    while let Some(outcome) = calls.join_next().await {
        let (through, answer) = outcome?;
        ways[usize::from(through)].take(&answer);
    }
    Ok(ways)
}

impl Way {
    fn new(name: &'static str) -> Self {
        let (first_token, total) = (tally::histogram(), tally::histogram());
        Self { name, first_token, total, done: 0, other: 0 }
    }

    fn take(&mut self, answer: &Answer) {
        if answer.ended != Ended::Done {
            self.other += 1;
            return;
        }
        self.done += 1;
        self.total.saturating_record(tally::micros(answer.total));
        if let Some(time) = answer.first_token {
            self.first_token.saturating_record(tally::micros(time));
        }
    }
}

/// Prints the ways and the difference of their quantiles.
fn print(ways: &[Way; 2], rate: f64) {
    for way in ways {
        let line = json!({
            "way": way.name, "rate": rate, "done": way.done, "other": way.other,
            "ttft_p50_s": tally::quantile(&way.first_token, 0.50),
            "ttft_p99_s": tally::quantile(&way.first_token, 0.99),
            "total_p50_s": tally::quantile(&way.total, 0.50),
            "total_p99_s": tally::quantile(&way.total, 0.99),
        });
        println!("{line}");
    }
    let added = |q: f64| {
        let [direct, through] = ways;
        tally::quantile(&through.first_token, q) - tally::quantile(&direct.first_token, q)
    };
    println!("{}", json!({"way": "added", "ttft_p50_s": added(0.50), "ttft_p99_s": added(0.99)}));
}
