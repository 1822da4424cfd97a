//! Runs the randomized fault test of the platform with many seeds, each in its own process.

use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::time::Duration;
use std::time::Instant;

use crate::Result;
use crate::root;

/// The test that runs the seeds of `SEEDS_VARIABLE`.
const TEST: &str = "soak::seeds::asked_for";
/// Environment variable with the seeds.
const SEEDS_VARIABLE: &str = "KUMQUATTILLER_SOAK_SEEDS";
/// Seeds to run unless `--seeds` is given.
const DEFAULT_SEEDS: &str = "1-5";

/// Runs seeds one after the other and prints a line for each.
///
/// `--seeds A-B` selects the seeds, `--minutes M` runs new seeds for a time instead, and
/// `--report DIR` saves the output of failing seeds.
///
/// # Errors
///
/// Fails when an option is invalid or the test fails for a seed.
pub fn exec(mut args: pico_args::Arguments) -> Result {
    let minutes: Option<f64> = args.opt_value_from_str("--minutes")?;
    let seeds: Option<String> = args.opt_value_from_str("--seeds")?;
    let report_folder: Option<PathBuf> = args.opt_value_from_str("--report")?;
    let range = seeds.as_deref().unwrap_or(DEFAULT_SEEDS);
    let (first, last) = range.split_once('-').unwrap_or((range, range));
    let (first, last): (u64, u64) = (first.parse()?, last.parse()?);
    let (first, last) = if minutes.is_some() { (time_seed()?, u64::MAX) } else { (first, last) };
    let deadline = minutes.map(|m| Instant::now() + Duration::from_secs_f64(m * 60.0));
    let (mut run_count, mut failed) = (0_u32, Vec::new());
    for seed in first..=last {
        if deadline.is_some_and(|deadline| Instant::now() >= deadline) {
            break;
        }
        let output = run_seed(seed)?;
        run_count += 1;
        let verdict = if output.status.success() { "kept" } else { "BROKEN" };
        println!("seed {seed}: {verdict}");
        if !output.status.success() {
            failed.push(seed);
            report_failure(report_folder.as_ref(), seed, &output)?;
        }
    }
    println!("{run_count} seeds, {} broke a promise: {failed:?}", failed.len());
    if failed.is_empty() { Ok(()) } else { Err("a promise was broken".into()) }
}

fn run_seed(seed: u64) -> std::io::Result<Output> {
    Command::new("cargo")
        .args(["test", "--locked", "--package", "kumquattiller-platform", "--test", "testsuite"])
        .args(["--", "--exact", TEST, "--nocapture"])
        .env(SEEDS_VARIABLE, seed.to_string())
        .env("RUST_BACKTRACE", "0")
        .current_dir(root())
        .output()
}

/// Saves the output of a failing seed in the report folder, or prints it when there is none.
fn report_failure(
    report_folder: Option<&PathBuf>,
    seed: u64,
    output: &Output,
) -> std::io::Result<()> {
    let text = [output.stdout.as_slice(), output.stderr.as_slice()].concat();
    let Some(folder) = report_folder else {
        println!("{}", String::from_utf8_lossy(&text));
        return Ok(());
    };
    std::fs::create_dir_all(folder)?;
    std::fs::write(folder.join(format!("seed-{seed}.txt")), text)
}

/// Returns the current Unix time in seconds, so that each run starts with other seeds.
fn time_seed() -> Result<u64, std::time::SystemTimeError> {
    Ok(std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH)?.as_secs())
}
