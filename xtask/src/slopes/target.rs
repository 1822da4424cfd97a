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
/// Items of the configuration for a client account: its line in the register and its rule.
const ITEMS_PER_ACCOUNT: f64 = 2.0;
/// Links of a daemon to the runners of one service: 48 of its zone, 32 of its region, 8 of others.
pub const SUBSET: f64 = 88.0;
/// Services, one for each model.
const SERVICES: f64 = 13.0;
/// Links of a daemon to the runners of all services.
const ALL_LINKS: f64 = SUBSET * SERVICES;
/// Links of a daemon to other daemons: 88 of its availability zone and 2 of each of 17 others.
pub const PEERS: f64 = 122.0;
/// Reads a second of a watcher: a waiting watch of 2 s, and the list of VMs twice a second.
const WATCHER_READS: f64 = 2.5;
/// Watchers: 3 of each availability zone.
const WATCHERS: f64 = 54.0;
/// Reads a second of every other daemon: the list of VMs every 10 s.
const OTHER_READS: f64 = 0.1;
/// Reads a second that the store takes.
const READ_LIMIT: f64 = 2_000.0;
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
    let last = |name: &str| {
        let series = results.get(name).and_then(|s| s.points.last());
        series.map(|point| point.1).ok_or_else(|| Failure::from(format!("no {name}")))
    };
    let line = |name: &str| {
        results.get(name).map(|s| s.line).ok_or_else(|| Failure::from(format!("no {name}")))
    };
    let rate = REQUESTS_PER_SECOND / DAEMONS;
    let accounts = line("entry.accounts.memory")?.slope * ACCOUNTS;
    let held = line("entry.accounts.memory")?.slope / ITEMS_PER_ACCOUNT * RUNNERS;
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
            what: "memory, with links to 88 runners of each of 13 services and the whole register",
            from: "entry.links.memory at 1,144 + entry.accounts.memory × 3,200 + entry.rate.memory × 46.25 + entry.accounts.memory / 2 × 10,000, for a client account is two items of the configuration and a runner one",
            value: memory(ALL_LINKS)? + held,
            unit: "B",
            limit: Some(MEMORY_LIMIT),
        },
        Figure {
            role: entry,
            what: "memory, with links to 88 runners and the whole register",
            from: "entry.links.memory at 88 + entry.accounts.memory × 3,200 + entry.rate.memory × 46.25 + entry.accounts.memory / 2 × 10,000, for a client account is two items of the configuration and a runner one",
            value: memory(SUBSET)? + held,
            unit: "B",
            limit: Some(MEMORY_LIMIT),
        },
        Figure {
            role: entry,
            what: "control, with links to 88 runners of each of 13 services",
            from: "entry.links.control at 1,144",
            value: line("entry.links.control")?.at(ALL_LINKS),
            unit: "B/s",
            limit: Some(CONTROL_LIMIT),
        },
        Figure {
            role: entry,
            what: "control, with links to 88 runners",
            from: "entry.links.control at 88",
            value: line("entry.links.control")?.at(SUBSET),
            unit: "B/s",
            limit: Some(CONTROL_LIMIT),
        },
        Figure {
            role: entry,
            what: "control, of links to 122 other daemons",
            from: "entry.daemons.control, slope × 122",
            value: line("entry.daemons.control")?.slope * PEERS,
            unit: "B/s",
            limit: Some(CONTROL_LIMIT),
        },
        Figure {
            role: entry,
            what: "control, with links to 88 runners and 122 daemons",
            from: "entry.links.control at 88 + entry.daemons.control, slope × 122",
            value: line("entry.links.control")?.at(SUBSET)
                + line("entry.daemons.control")?.slope * PEERS,
            unit: "B/s",
            limit: Some(CONTROL_LIMIT),
        },
        Figure {
            role: entry,
            what: "processor time of control, with links to 88 runners of each of 13 services",
            from: "entry.links.cores at 1,144",
            value: line("entry.links.cores")?.at(ALL_LINKS),
            unit: "cores",
            limit: Some(CORE_LIMIT),
        },
        Figure {
            role: entry,
            what: "processor time of control, with links to 88 runners",
            from: "entry.links.cores at 88",
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
            from: "runner.memory at 128, measured there",
            value: last("runner.memory")?,
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
            value: last("store.manifest")?,
            unit: "B",
            limit: Some(VALUE_LIMIT),
        },
        Figure {
            role: store,
            what: "largest shard of the configuration",
            from: "store.largest_shard at 10,000, measured there",
            value: last("store.largest_shard")?,
            unit: "B",
            limit: Some(VALUE_LIMIT),
        },
        Figure {
            role: store,
            what: "bytes of shards written by a change",
            from: "store.change at 10,000, measured there",
            value: last("store.change")?,
            unit: "B",
            limit: None,
        },
        Figure {
            role: store,
            what: "reads, on the mean",
            from: "arithmetic: 54 watchers × 2.5/s + 1,546 other daemons × 0.1/s",
            value: WATCHERS * WATCHER_READS + (DAEMONS - WATCHERS) * OTHER_READS,
            unit: "reads/s",
            limit: Some(READ_LIMIT),
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
