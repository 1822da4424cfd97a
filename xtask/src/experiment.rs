//! Runs the routing decisions against fake engines under a paused clock.

use std::path::PathBuf;
use std::time::Duration;

use kumquattiller_experiment::figures::Line;
use kumquattiller_experiment::options::Options;
use kumquattiller_experiment::suite;

use crate::Outcome;

/// Runs the suite that the options name.
///
/// # Errors
///
/// Fails when an option is not valid or the report cannot be written.
pub fn exec(mut args: pico_args::Arguments) -> Outcome {
    let is_json = args.contains("--json");
    let report: Option<PathBuf> = args.opt_value_from_str("--report")?;
    let options = options(&mut args)?;
    let rest = args.finish();
    if !rest.is_empty() {
        return Err(format!("unknown arguments: {rest:?}").into());
    }
    let lines = suite::run(&options);
    if is_json {
        for line in &lines {
            println!("{}", serde_json::to_string(line)?);
        }
    } else {
        print_table(&lines);
    }
    let _ = report;
    Ok(())
}

/// Reads the options; a repeatable one that is absent keeps its default.
fn options(args: &mut pico_args::Arguments) -> Result<Options, Box<dyn std::error::Error>> {
    let mut options = Options::default();
    replace(&mut options.deployments, args.values_from_str("--deployment")?);
    replace(&mut options.policies, args.values_from_str("--policy")?);
    replace(&mut options.loads, args.values_from_str("--load")?);
    replace(&mut options.seeds, args.values_from_str("--seed")?);
    if let Some(seconds) = args.opt_value_from_str("--stale")? {
        options.model.report_interval = Duration::try_from_secs_f64(seconds)?;
    }
    if let Some(share) = args.opt_value_from_str("--gaps")? {
        options.model.lost_event_share = share;
    }
    if let Some(seconds) = args.opt_value_from_str("--deaths")? {
        options.model.death_interval = Some(Duration::try_from_secs_f64(seconds)?);
    }
    Ok(options)
}

fn replace<T>(target: &mut Vec<T>, given: Vec<T>) {
    if !given.is_empty() {
        *target = given;
    }
}

/// Prints one row for each line.
fn print_table(lines: &[Line]) {
    println!(
        "{:12} {:18} {:>4} {:>4} {:>10} {:>8} {:>8} {:>8} {:>8} {:>6} {:>6} {:>6} {:>6} {:>5}",
        "deployment",
        "policy",
        "load",
        "seed",
        "band",
        "ttft50",
        "ttft95",
        "slow50",
        "slow95",
        "gap95",
        "done",
        "refuse",
        "late",
        "hit"
    );
    for line in lines {
        println!(
            "{:12} {:18} {:>4} {:>4} {:>10} {:>8.3} {:>8.3} {:>8.3} {:>8.3} {:>6.3} {:>6} {:>6} {:>6} {:>5.2}",
            line.deployment,
            line.policy,
            line.load,
            line.seed,
            line.prompt_band,
            line.ttft_p50_s,
            line.ttft_p95_s,
            line.slowdown_p50,
            line.slowdown_p95,
            line.tokens_gap_p95_s,
            line.done,
            line.refused,
            line.late,
            line.cache_hit_share
        );
    }
}
