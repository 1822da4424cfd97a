//! Measures the latency that the entry daemon and runner process add to calling an engine directly.

use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::task::JoinSet;

use crate::Error;
use crate::Result;
use crate::caller::Caller;
use crate::caller::Completion;
use crate::caller::Status;
use crate::caller::prompt;
use crate::fleet::build;
use crate::load::stats;
use crate::slopes::cluster::CREDENTIAL;
use crate::slopes::cluster::Cluster;
use crate::slopes::cluster::MODEL;
use crate::slopes::cluster::Size;

/// Requests per second to the entry daemon, as at the two-year size.
const REQUESTS_PER_S: f64 = 46.0;
/// Time during which requests are sent.
const DURATION: Duration = Duration::from_secs(30);
/// Deadline of the requests.
const DEADLINE: Duration = Duration::from_secs(30);
/// Number of runner processes, each with its own engine. The same number of engines without a
/// runner process is called directly, because a runner process cancels streams on its engine that
/// it did not start.
const RUNNERS: usize = 6;
/// Factor by which the stand-in engines run faster than their time model.
const ENGINE_SPEED: u32 = 10;
/// Tokens of each prompt.
const PROMPT_TOKENS: u64 = 1_000;
/// Tokens of each completion.
const COMPLETION_TOKENS: u64 = 4;

/// Latencies of the requests over one of the two paths.
#[derive(Debug)]
struct PathStats {
    name: &'static str,
    first_token: Histogram<u64>,
    total: Histogram<u64>,
    done: u64,
    not_done: u64,
}

/// Measures both paths and prints one JSON object for each path and one for the difference.
///
/// # Errors
///
/// Fails on invalid options, or when the cluster does not start.
pub fn exec(mut args: pico_args::Arguments) -> Result {
    let rate: f64 = args.opt_value_from_str("--rate")?.unwrap_or(REQUESTS_PER_S);
    let seconds: Option<u64> = args.opt_value_from_str("--duration")?;
    let duration = seconds.map_or(DURATION, Duration::from_secs);
    if !args.finish().is_empty() {
        return Err("usage: cargo xtask overhead [--rate N] [--duration S]".into());
    }
    let programs = build(true)?;
    tokio::runtime::Runtime::new()?.block_on(async {
        let size = Size { entries: 1, runners: RUNNERS, engines: 2 * RUNNERS, accounts: 10 };
        let engine = ["--speed".to_owned(), ENGINE_SPEED.to_string()];
        let cluster = Cluster::start(&programs, size, &engine).await?;
        let paths = send_requests(&cluster, rate, duration).await?;
        print_results(&paths, rate);
        Ok(())
    })
}

/// Sends requests at twice `rate`, each with equal probability directly to an engine or through the
/// entry daemon, so that each path gets `rate` on average.
async fn send_requests(
    cluster: &Cluster,
    rate: f64,
    duration: Duration,
) -> Result<[PathStats; 2], Error> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let caller = Caller::new(CREDENTIAL);
    let started = Instant::now();
    let mut requests = JoinSet::new();
    let mut next_send = Duration::ZERO;
    let mut sent = 0;
    while next_send < duration {
        tokio::time::sleep_until((started + next_send).into()).await;
        let through_entry = rng.random::<bool>();
        let engine = cluster.engines[RUNNERS + sent % RUNNERS].url.clone();
        let entry = cluster.entries[0].url();
        let caller = caller.clone();
        requests.spawn(async move {
            let text = prompt(PROMPT_TOKENS, sent as u64);
            let completion = if through_entry {
                caller.complete(&entry, MODEL, &text, COMPLETION_TOKENS, DEADLINE).await
            } else {
                let id = format!("direct-{sent}");
                caller.complete_on_engine(&engine, &id, MODEL, &text, COMPLETION_TOKENS).await
            };
            (through_entry, completion)
        });
        sent += 1;
        next_send += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / (2.0 * rate));
    }
    let mut paths = [PathStats::new("direct"), PathStats::new("through")];
    while let Some(result) = requests.join_next().await {
        let (through_entry, completion) = result?;
        paths[usize::from(through_entry)].record(&completion);
    }
    Ok(paths)
}

impl PathStats {
    fn new(name: &'static str) -> Self {
        let (first_token, total) = (stats::histogram(), stats::histogram());
        Self { name, first_token, total, done: 0, not_done: 0 }
    }

    fn record(&mut self, completion: &Completion) {
        if completion.status != Status::Done {
            self.not_done += 1;
            return;
        }
        self.done += 1;
        self.total.saturating_record(stats::whole_micros(completion.total));
        if let Some(time) = completion.first_token {
            self.first_token.saturating_record(stats::whole_micros(time));
        }
    }
}

/// Prints the quantiles of both paths and their differences.
fn print_results(paths: &[PathStats; 2], rate: f64) {
    for path in paths {
        let line = json!({
            "way": path.name, "rate": rate, "done": path.done, "other": path.not_done,
            "ttft_p50_s": stats::quantile(&path.first_token, 0.50),
            "ttft_p99_s": stats::quantile(&path.first_token, 0.99),
            "total_p50_s": stats::quantile(&path.total, 0.50),
            "total_p99_s": stats::quantile(&path.total, 0.99),
        });
        println!("{line}");
    }
    let added = |q: f64| {
        let [direct, through_entry] = paths;
        stats::quantile(&through_entry.first_token, q) - stats::quantile(&direct.first_token, q)
    };
    println!("{}", json!({"way": "added", "ttft_p50_s": added(0.50), "ttft_p99_s": added(0.99)}));
}
