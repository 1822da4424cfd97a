//! Plays the fault soak of the users' platform with many seeds, one process each.

use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::time::Duration;
use std::time::Instant;

use crate::Outcome;
use crate::root;

/// The test that plays the seeds of the variable.
const TEST: &str = "soak::seeds::asked_for";
/// Variable that names the seeds.
const VARIABLE: &str = "KUMQUATTILLER_SOAK_SEEDS";
/// Seeds that are played where none are asked for.
const USUAL_SEEDS: &str = "1-5";

/// Plays seeds one after the other and prints a line for each.
///
/// `--seeds A-B` names the seeds, `--minutes M` plays fresh ones for a time, `--report DIR` keeps
/// what failing seeds print.
///
/// # Errors
///
/// Fails when an option is wrong or a seed breaks a promise.
pub fn exec(mut args: pico_args::Arguments) -> Outcome {
    let minutes: Option<f64> = args.opt_value_from_str("--minutes")?;
    let seeds: Option<String> = args.opt_value_from_str("--seeds")?;
    let report: Option<PathBuf> = args.opt_value_from_str("--report")?;
    let range = seeds.as_deref().unwrap_or(USUAL_SEEDS);
    let (first, last) = range.split_once('-').unwrap_or((range, range));
    let (first, last): (u64, u64) = (first.parse()?, last.parse()?);
    let (first, last) = if minutes.is_some() { (fresh()?, u64::MAX) } else { (first, last) };
    let end = minutes.map(|m| Instant::now() + Duration::from_secs_f64(m * 60.0));
    let (mut played, mut failed) = (0_u32, Vec::new());
    for seed in first..=last {
        if end.is_some_and(|end| Instant::now() >= end) {
            break;
        }
        let output = play(seed)?;
        played += 1;
        let verdict = if output.status.success() { "kept" } else { "BROKEN" };
        println!("seed {seed}: {verdict}");
        if !output.status.success() {
            failed.push(seed);
            keep(report.as_ref(), seed, &output)?;
        }
    }
    println!("{played} seeds, {} broke a promise: {failed:?}", failed.len());
    if failed.is_empty() { Ok(()) } else { Err("a promise was broken".into()) }
}

fn play(seed: u64) -> std::io::Result<Output> {
    Command::new("cargo")
        .args(["test", "--locked", "--package", "kumquattiller-platform", "--test", "testsuite"])
        .args(["--", "--exact", TEST, "--nocapture"])
        .env(VARIABLE, seed.to_string())
        .env("RUST_BACKTRACE", "0")
        .current_dir(root())
        .output()
}

/// Prints what a failing seed said, or keeps it in the folder of the report.
fn keep(report: Option<&PathBuf>, seed: u64, output: &Output) -> std::io::Result<()> {
    let text = [output.stdout.as_slice(), output.stderr.as_slice()].concat();
    let Some(folder) = report else {
        println!("{}", String::from_utf8_lossy(&text));
        return Ok(());
    };
    std::fs::create_dir_all(folder)?;
    std::fs::write(folder.join(format!("seed-{seed}.txt")), text)
}

/// Returns a seed that was hardly played before: the present second.
fn fresh() -> Result<u64, std::time::SystemTimeError> {
    Ok(std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH)?.as_secs())
}
