//! The two-year size, and what the slopes give at it.

use crate::Failure;
use crate::slopes::series::Results;

/// Entry daemons.
pub const DAEMONS: f64 = 1_600.0;
/// Runners.
pub const RUNNERS: f64 = 10_000.0;
/// Requests a second at the peak.
pub const REQUESTS_PER_SECOND: f64 = 74_000.0;
/// Client accounts.
pub const ACCOUNTS: f64 = 3_200.0;
/// Changes of configuration a day.
pub const CHANGES_PER_DAY: f64 = 31_000.0;
/// Links of a daemon that keeps a subset of the runners.
pub const SUBSET: f64 = 64.0;
/// Seconds of a day.
const DAY_S: f64 = 86_400.0;
/// Bytes of a megabyte, as in the limit of 256 MB.
const MB: f64 = 1e6;
/// Largest value of the store, in bytes.
const VALUE_LIMIT: f64 = 1e6;
/// Memory of a daemon for control, in bytes.
const MEMORY_LIMIT: f64 = 256.0 * MB;
/// Share of a core of a daemon for control.
const CORE_LIMIT: f64 = 0.018;
/// Control of a daemon, in bytes a second.
const CONTROL_LIMIT: f64 = 3_000.0;

/// One figure at the two-year size.
#[derive(Debug, Clone, PartialEq)]
pub struct Figure {
    /// The role.
    pub role: &'static str,
    /// What it is a figure of.
    pub what: &'static str,
    /// How it was worked out, from series and constants.
    pub from: &'static str,
    /// The value.
    pub value: f64,
    /// Its unit.
    pub unit: &'static str,
    /// The limit, when there is one.
    pub limit: Option<f64>,
}

/// Works the figures out.
///
/// # Errors
///
/// Fails when a series is missing.
pub fn figures(results: &Results) -> Result<Vec<Figure>, Failure> {
    let line = |name: &str| {
        results.get(name).map(|s| s.line).ok_or_else(|| Failure::from(format!("no {name}")))
    };
    let rate = REQUESTS_PER_SECOND / DAEMONS;
    let accounts = line("entry.accounts.memory")?.slope * ACCOUNTS;
    let held = line("held.runners")?.slope * RUNNERS;
    let streams = line("entry.rate.memory")?.slope * rate;
    let memory = |links: f64| -> Result<f64, Failure> {
        Ok(line("entry.links.memory")?.at(links) + accounts + streams)
    };
    let entry = "entry daemon";
    let runner = "runner process";
    let store = "store";
    Ok(vec![
        Figure {
            role: entry,
            what: "memory, with links to every runner",
            from: "entry.links.memory at 10,000 + entry.accounts.memory × 3,200 + entry.rate.memory × 46.25",
            value: memory(RUNNERS)?,
            unit: "B",
            limit: Some(MEMORY_LIMIT),
        },
        Figure {
            role: entry,
            what: "memory, with links to 64 runners and the whole register",
            from: "entry.links.memory at 64 + entry.accounts.memory × 3,200 + entry.rate.memory × 46.25 + held.runners × 10,000",
            value: memory(SUBSET)? + held,
            unit: "B",
            limit: Some(MEMORY_LIMIT),
        },
        Figure {
            role: entry,
            what: "control, with links to every runner",
            from: "entry.links.control at 10,000",
            value: line("entry.links.control")?.at(RUNNERS),
            unit: "B/s",
            limit: Some(CONTROL_LIMIT),
        },
        Figure {
            role: entry,
            what: "control, with links to 64 runners",
            from: "entry.links.control at 64",
            value: line("entry.links.control")?.at(SUBSET),
            unit: "B/s",
            limit: Some(CONTROL_LIMIT),
        },
        Figure {
            role: entry,
            what: "processor time of control, with links to every runner",
            from: "entry.links.cores at 10,000",
            value: line("entry.links.cores")?.at(RUNNERS),
            unit: "cores",
            limit: Some(CORE_LIMIT),
        },
        Figure {
            role: entry,
            what: "processor time of control, with links to 64 runners",
            from: "entry.links.cores at 64",
            value: line("entry.links.cores")?.at(SUBSET),
            unit: "cores",
            limit: Some(CORE_LIMIT),
        },
        Figure {
            role: entry,
            what: "processor time of requests",
            from: "entry.rate.cores × 46.25; of 8 generated tokens each, not 486",
            value: line("entry.rate.cores")?.slope * rate,
            unit: "cores",
            limit: None,
        },
        Figure {
            role: runner,
            what: "memory, idle",
            from: "runner.memory, mean of its points",
            value: line("runner.memory")?.intercept,
            unit: "B",
            limit: Some(MEMORY_LIMIT),
        },
        Figure {
            role: runner,
            what: "processor time of requests",
            from: "runner.rate.cores × 7.4; of 8 generated tokens each, not 486",
            value: line("runner.rate.cores")?.slope * REQUESTS_PER_SECOND / RUNNERS,
            unit: "cores",
            limit: None,
        },
        Figure {
            role: store,
            what: "manifest of the configuration",
            from: "store.manifest at 10,000, measured there",
            value: line("store.manifest")?.at(RUNNERS),
            unit: "B",
            limit: Some(VALUE_LIMIT),
        },
        Figure {
            role: store,
            what: "largest shard of the configuration",
            from: "store.largest_shard at 10,000, measured there",
            value: line("store.largest_shard")?.at(RUNNERS),
            unit: "B",
            limit: Some(VALUE_LIMIT),
        },
        Figure {
            role: store,
            what: "bytes of shards written by a change",
            from: "store.change at 10,000, measured there",
            value: line("store.change")?.at(RUNNERS),
            unit: "B",
            limit: None,
        },
        Figure {
            role: store,
            what: "changes, on the mean",
            from: "arithmetic: 31,000 / 86,400 s",
            value: CHANGES_PER_DAY / DAY_S,
            unit: "changes/s",
            limit: None,
        },
    ])
}
