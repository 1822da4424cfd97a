//! Evaluates the routing policies in a simulation with virtual time.

use std::path::PathBuf;
use std::time::Duration;

use kumquattiller_experiment::metrics::Line;
use kumquattiller_experiment::options::Options;
use kumquattiller_experiment::report;
use kumquattiller_experiment::sensitivity;
use kumquattiller_experiment::suite;
use kumquattiller_experiment::summary;

use crate::Result;

const USAGE: &str = "\
usage: cargo xtask experiment [options]

  --deployment NAME   bayanihan or addis_ketema (repeatable)
  --policy NAME       round_robin, least_outstanding, two_choices, kumquattiller_v1, … (repeatable)
  --load SHARE        share of the capacity (repeatable)
  --seed NUMBER       seed of the workload and the decisions (repeatable)
  --stale SECONDS     time between load reports
  --gaps SHARE        share of the cache reports that are lost
  --deaths SECONDS    mean time between deaths of one engine
  --json              one JSON object per line, instead of a table over the seeds
  --report DIR        also write plots and a page
  --sensitivity       halve and double each parameter of the time model at load 0.8
";

/// Runs the experiments that the options select.
///
/// # Errors
///
/// Fails when an option is not valid or the report cannot be written.
pub fn exec(mut args: pico_args::Arguments) -> Result {
    if args.contains("--help") {
        print!("{USAGE}");
        return Ok(());
    }
    let is_json = args.contains("--json");
    let is_sensitivity = args.contains("--sensitivity");
    let report_folder: Option<PathBuf> = args.opt_value_from_str("--report")?;
    let options = read_options(&mut args)?;
    let unknown = args.finish();
    if !unknown.is_empty() {
        return Err(format!("unknown arguments: {unknown:?}\n{USAGE}").into());
    }
    if is_sensitivity {
        print!("{}", summary::table(&sensitivity::COLUMNS, &sensitivity::run(&options)));
        return Ok(());
    }
    let lines = suite::run(&options);
    if let Some(report_folder) = report_folder {
        report::write(&report_folder, &lines)?;
    }
    print_results(&lines, is_json)
}

/// Reads the options; a repeatable option that is absent keeps its default values.
fn read_options(args: &mut pico_args::Arguments) -> Result<Options, Box<dyn std::error::Error>> {
    let mut options = Options::default();
    replace_if_given(&mut options.deployments, args.values_from_str("--deployment")?);
    replace_if_given(&mut options.policies, args.values_from_str("--policy")?);
    replace_if_given(&mut options.loads, args.values_from_str("--load")?);
    replace_if_given(&mut options.seeds, args.values_from_str("--seed")?);
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

fn replace_if_given<T>(target: &mut Vec<T>, given: Vec<T>) {
    if !given.is_empty() {
        *target = given;
    }
}

fn print_results(lines: &[Line], is_json: bool) -> Result {
    if is_json {
        for line in lines {
            println!("{}", serde_json::to_string(line)?);
        }
        return Ok(());
    }
    let rows: Vec<Vec<String>> =
        summary::summaries(lines).iter().map(|(k, s)| summary::row(k, s)).collect();
    print!("{}", summary::table(&summary::COLUMNS, &rows));
    Ok(())
}
