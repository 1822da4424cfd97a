//! Measures what processes and data structures cost at rising sizes.

mod fit;
mod group;
mod measure;
mod page;
pub mod rig;
mod sample;
mod series;
mod target;
mod usage;

use strum::IntoEnumIterator;

use crate::Failure;
use crate::Outcome;
use crate::fleet::build;
use crate::root;
use crate::slopes::group::Group;
use crate::slopes::series::Results;
use crate::slopes::series::Series;

/// The command that makes the committed result.
const COMMAND: &str = "cargo xtask slopes";
/// The committed result, from the root of the repository.
const RESULTS: &str = "docs/capacity/slopes.json";
/// The page whose tables come from it, from the root of the repository.
const PAGE: &str = "docs/CAPACITY.md";

/// Runs the chore: measures every group or one, writes the result and the page's tables.
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
    let only: Option<Group> = args.opt_value_from_str("--only")?;
    if !args.finish().is_empty() {
        return Err("usage: cargo xtask slopes [--check | --page | --only GROUP]".into());
    }
    if !check && !page_alone {
        measure(only)?;
    }
    let results = read()?;
    let path = root().join(PAGE);
    let page = std::fs::read_to_string(&path)?;
    let fresh = page::with_tables(&page, &results)?;
    if check && fresh != page {
        return Err(format!("{PAGE} does not agree with {RESULTS}").into());
    }
    if !check {
        std::fs::write(path, fresh)?;
    }
    Ok(())
}

/// Reads the committed result.
fn read() -> Result<Results, Failure> {
    Ok(serde_json::from_str(&std::fs::read_to_string(root().join(RESULTS))?)?)
}

/// Measures every group, or one whose series then take the place of those before.
fn measure(only: Option<Group>) -> Outcome {
    let programs = build(true)?;
    let runtime = tokio::runtime::Runtime::new()?;
    let groups = Group::iter().filter(|group| only.is_none_or(|only| only == *group));
    let mut series: Vec<Series> = Vec::new();
    for group in groups {
        eprintln!("measuring {group}");
        series.extend(runtime.block_on(group.measure(&programs))?);
    }
    if only.is_some() {
        let old = read().map(|results| results.series).unwrap_or_default();
        let stays = |s: &Series| series.iter().all(|new| new.name != s.name);
        let kept: Vec<Series> = old.into_iter().filter(stays).collect();
        series.splice(0..0, kept);
    }
    series.sort_by(|a, b| a.name.cmp(&b.name));
    let cores = std::thread::available_parallelism()?.get();
    let results = Results { command: COMMAND.to_owned(), cores, series };
    std::fs::write(root().join(RESULTS), serde_json::to_string_pretty(&results)? + "\n")?;
    Ok(())
}
