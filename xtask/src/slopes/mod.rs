//! Measures what processes and data structures cost at rising sizes.

mod fit;
mod measure;
mod page;
pub mod rig;
mod sample;
mod series;
mod target;
mod usage;

use crate::Failure;
use crate::Outcome;
use crate::fleet::build;
use crate::root;
use crate::slopes::series::Results;
use crate::slopes::series::Series;

/// The command that makes the committed result.
const COMMAND: &str = "cargo xtask slopes";
/// The committed result, from the root of the repository.
const RESULTS: &str = "docs/capacity/slopes.json";
/// The page whose tables come from it, from the root of the repository.
const PAGE: &str = "docs/CAPACITY.md";

/// Runs the chore: without options measures, writes the result and the page's tables.
///
/// # Errors
///
/// Fails when a measurement fails, or with `--check` when the tables do not agree.
pub fn exec(mut args: pico_args::Arguments) -> Outcome {
    if args.contains("--hold") {
        return measure::hold();
    }
    let check = args.contains("--check");
    let page_alone = args.contains("--page");
    if !args.finish().is_empty() {
        return Err("usage: cargo xtask slopes [--check | --page]".into());
    }
    if !check && !page_alone {
        let results = run()?;
        std::fs::write(root().join(RESULTS), serde_json::to_string_pretty(&results)? + "\n")?;
    }
    let results: Results = serde_json::from_str(&std::fs::read_to_string(root().join(RESULTS))?)?;
    let path = root().join(PAGE);
    let page = std::fs::read_to_string(&path)?;
    let fresh = page::with_tables(&page, &results)?;
    if check && fresh != page {
        return Err(format!("{PAGE} does not agree with {RESULTS}").into());
    }
    std::fs::write(path, fresh)?;
    Ok(())
}

/// Runs every measurement.
fn run() -> Result<Results, Failure> {
    let programs = build(true)?;
    let mut series: Vec<Series> = measure::configuration()?;
    series.extend(measure::held()?);
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(async {
        series.extend(measure::links(&programs).await?);
        series.extend(measure::accounts(&programs).await?);
        series.extend(measure::daemons(&programs).await?);
        series.extend(measure::rate(&programs).await?);
        Ok::<(), Failure>(())
    })?;
    let cores = std::thread::available_parallelism()?.get();
    Ok(Results { command: COMMAND.to_owned(), cores, series })
}
