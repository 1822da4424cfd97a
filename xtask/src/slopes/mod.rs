//! Measures how the cost of processes and data structures grows with their size.
//!
//! Each series is measured at several sizes and fitted with a straight line. The results are
//! committed as JSON, and the tables of the capacity page are generated from them.

pub mod cluster;
mod estimate;
mod fit;
mod group;
mod measure;
mod page;
mod sample;
mod series;
mod usage;

use strum::IntoEnumIterator;

use crate::Error;
use crate::Result;
use crate::fleet::build;
use crate::root;
use crate::slopes::group::Group;
use crate::slopes::series::Results;
use crate::slopes::series::Series;

/// The command that produces the committed results.
const COMMAND: &str = "cargo xtask slopes";
/// The committed results, relative to the root of the repository.
const RESULTS: &str = "docs/capacity/slopes.json";
/// The page whose tables are generated from the results, relative to the root of the repository.
const PAGE: &str = "docs/CAPACITY.md";

/// Measures all groups or one and writes the results and the tables of the page.
///
/// `--page` only writes the tables, `--check` only compares them, and `--only GROUP` measures one
/// group. `--hold` is for the child processes of `measure::held`.
///
/// # Errors
///
/// Fails when a measurement fails, or with `--check` when the tables differ from the results.
pub fn exec(mut args: pico_args::Arguments) -> Result {
    if args.contains("--hold") {
        return measure::hold();
    }
    let is_check = args.contains("--check");
    let is_page_only = args.contains("--page");
    let only: Option<Group> = args.opt_value_from_str("--only")?;
    if !args.finish().is_empty() {
        return Err("usage: cargo xtask slopes [--check | --page | --only GROUP]".into());
    }
    if !is_check && !is_page_only {
        measure(only)?;
    }
    let results = read_results()?;
    let path = root().join(PAGE);
    let page = std::fs::read_to_string(&path)?;
    let updated = page::replace_tables(&page, &results)?;
    if is_check && updated != page {
        return Err(format!("{PAGE} does not agree with {RESULTS}").into());
    }
    if !is_check {
        std::fs::write(path, updated)?;
    }
    Ok(())
}

/// Reads the committed results.
fn read_results() -> Result<Results, Error> {
    Ok(serde_json::from_str(&std::fs::read_to_string(root().join(RESULTS))?)?)
}

/// Measures all groups and writes the results; with `only`, measures that group and keeps the
/// committed series of the others.
fn measure(only: Option<Group>) -> Result {
    let programs = build(true)?;
    let runtime = tokio::runtime::Runtime::new()?;
    let groups = Group::iter().filter(|group| only.is_none_or(|only| only == *group));
    let mut series: Vec<Series> = Vec::new();
    for group in groups {
        eprintln!("measuring {group}");
        series.extend(runtime.block_on(group.measure(&programs))?);
    }
    if only.is_some() {
        let old = read_results().map(|results| results.series).unwrap_or_default();
        let is_kept = |s: &Series| series.iter().all(|new| new.name != s.name);
        let kept: Vec<Series> = old.into_iter().filter(is_kept).collect();
        series.splice(0..0, kept);
    }
    series.sort_by(|a, b| a.name.cmp(&b.name));
    let cores = std::thread::available_parallelism()?.get();
    let results = Results { command: COMMAND.to_owned(), cores, series };
    std::fs::write(root().join(RESULTS), serde_json::to_string_pretty(&results)? + "\n")?;
    Ok(())
}
