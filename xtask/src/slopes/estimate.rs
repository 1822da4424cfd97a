//! The two-year size of the system, and estimates of the costs at that size.
//!
//! The estimates extrapolate the fitted lines of the measured series.

use crate::Error;
use crate::slopes::series::Results;

/// Number of entry daemons.
pub const ENTRY_DAEMONS: f64 = 1_600.0;
/// Number of runners.
pub const RUNNERS: f64 = 10_000.0;
/// Peak rate of requests, per second.
pub const REQUESTS_PER_S: f64 = 74_000.0;
/// Number of client accounts.
pub const ACCOUNTS: f64 = 3_200.0;
/// Changes of the configuration per day.
pub const CHANGES_PER_DAY: f64 = 31_000.0;
/// Configuration items per client account: its register entry and its rule.
const ITEMS_PER_ACCOUNT: f64 = 2.0;
/// Links of an entry daemon to the runners of one service: 48 in its availability zone, 32 in its
/// region and 8 in others.
pub const LINKS_PER_SERVICE: f64 = 88.0;
/// Number of services, one for each model.
const SERVICES: f64 = 13.0;
/// Links of an entry daemon to the runners of all services.
const ALL_LINKS: f64 = LINKS_PER_SERVICE * SERVICES;
/// Links of an entry daemon to other entry daemons: 88 in its availability zone and 2 in each of 17
/// others.
pub const PEER_LINKS: f64 = 122.0;
/// Store reads per second of a watcher: a watch that waits for up to 2 s, and the list of VMs twice
/// a second.
const WATCHER_READS_PER_S: f64 = 2.5;
/// Number of watchers: 3 in each availability zone.
const WATCHERS: f64 = 54.0;
/// Store reads per second of every other entry daemon: the list of VMs every 10 s.
const OTHER_READS_PER_S: f64 = 0.1;
/// Maximum reads per second of the store.
const READ_LIMIT_PER_S: f64 = 2_000.0;
/// Seconds in a day.
const SECONDS_PER_DAY: f64 = 86_400.0;
/// Bytes in a megabyte; the memory limit is decimal.
const BYTES_PER_MB: f64 = 1e6;
/// Maximum size of a value in the store, in bytes.
const VALUE_LIMIT_BYTES: f64 = 1e6;
/// Maximum memory of an entry daemon or runner process for control, in bytes.
const MEMORY_LIMIT_BYTES: f64 = 256.0 * BYTES_PER_MB;
/// Maximum processor time of an entry daemon for control traffic, in cores.
const CORE_LIMIT: f64 = 0.018;
/// Maximum control traffic of an entry daemon, in bytes per second.
const CONTROL_LIMIT_BYTES_PER_S: f64 = 3_000.0;

/// One estimate at the two-year size.
#[derive(Debug, Clone, PartialEq)]
pub struct Estimate {
    /// Role of the process or store.
    pub role: &'static str,
    /// What is estimated.
    pub what: &'static str,
    /// How the value was computed from series and constants.
    pub derivation: &'static str,
    /// The estimated value.
    pub value: f64,
    /// Unit of the value and the limit.
    pub unit: &'static str,
    /// Maximum permitted value, if any.
    pub limit: Option<f64>,
}

/// Computes all estimates.
///
/// # Errors
///
/// Fails when a series is missing.
pub fn compute(results: &Results) -> Result<Vec<Estimate>, Error> {
    let last_value = |name: &str| {
        let series = results.get(name).and_then(|s| s.points.last());
        series
            .map(|point| point.1)
            .ok_or_else(|| Error::from(format!("the results have no series {name}")))
    };
    let fitted_line = |name: &str| {
        results
            .get(name)
            .map(|s| s.line)
            .ok_or_else(|| Error::from(format!("the results have no series {name}")))
    };
    let rate = REQUESTS_PER_S / ENTRY_DAEMONS;
    let account_memory = fitted_line("entry.accounts.memory")?.slope * ACCOUNTS;
    let register_memory = fitted_line("entry.accounts.memory")?.slope / ITEMS_PER_ACCOUNT * RUNNERS;
    let request_memory = fitted_line("entry.rate.memory")?.slope * rate;
    let entry_memory = |links: f64| -> Result<f64, Error> {
        Ok(fitted_line("entry.links.memory")?.at(links) + account_memory + request_memory)
    };
    let entry = "entry daemon";
    let runner = "runner process";
    let store = "store";
    Ok(vec![
        Estimate {
            role: entry,
            what: "memory, with links to 88 runners of each of 13 services and the whole register",
            derivation: "entry.links.memory at 1,144 + entry.accounts.memory × 3,200 + entry.rate.memory × 46.25 + entry.accounts.memory / 2 × 10,000, for a client account is two items of the configuration and a runner one",
            value: entry_memory(ALL_LINKS)? + register_memory,
            unit: "B",
            limit: Some(MEMORY_LIMIT_BYTES),
        },
        Estimate {
            role: entry,
            what: "memory, with links to 88 runners and the whole register",
            derivation: "entry.links.memory at 88 + entry.accounts.memory × 3,200 + entry.rate.memory × 46.25 + entry.accounts.memory / 2 × 10,000, for a client account is two items of the configuration and a runner one",
            value: entry_memory(LINKS_PER_SERVICE)? + register_memory,
            unit: "B",
            limit: Some(MEMORY_LIMIT_BYTES),
        },
        Estimate {
            role: entry,
            what: "control, with links to 88 runners of each of 13 services",
            derivation: "entry.links.control at 1,144",
            value: fitted_line("entry.links.control")?.at(ALL_LINKS),
            unit: "B/s",
            limit: Some(CONTROL_LIMIT_BYTES_PER_S),
        },
        Estimate {
            role: entry,
            what: "control, with links to 88 runners",
            derivation: "entry.links.control at 88",
            value: fitted_line("entry.links.control")?.at(LINKS_PER_SERVICE),
            unit: "B/s",
            limit: Some(CONTROL_LIMIT_BYTES_PER_S),
        },
        Estimate {
            role: entry,
            what: "control, of links to 122 other daemons",
            derivation: "entry.daemons.control, slope × 122",
            value: fitted_line("entry.daemons.control")?.slope * PEER_LINKS,
            unit: "B/s",
            limit: Some(CONTROL_LIMIT_BYTES_PER_S),
        },
        Estimate {
            role: entry,
            what: "control, with links to 88 runners and 122 daemons",
            derivation: "entry.links.control at 88 + entry.daemons.control, slope × 122",
            value: fitted_line("entry.links.control")?.at(LINKS_PER_SERVICE)
                + fitted_line("entry.daemons.control")?.slope * PEER_LINKS,
            unit: "B/s",
            limit: Some(CONTROL_LIMIT_BYTES_PER_S),
        },
        Estimate {
            role: entry,
            what: "processor time of control, with links to 88 runners of each of 13 services",
            derivation: "entry.links.cores at 1,144",
            value: fitted_line("entry.links.cores")?.at(ALL_LINKS),
            unit: "cores",
            limit: Some(CORE_LIMIT),
        },
        Estimate {
            role: entry,
            what: "processor time of control, with links to 88 runners",
            derivation: "entry.links.cores at 88",
            value: fitted_line("entry.links.cores")?.at(LINKS_PER_SERVICE),
            unit: "cores",
            limit: Some(CORE_LIMIT),
        },
        Estimate {
            role: entry,
            what: "processor time of requests",
            derivation: "entry.rate.cores × 46.25; of 8 generated tokens each, not 486",
            value: fitted_line("entry.rate.cores")?.slope * rate,
            unit: "cores",
            limit: None,
        },
        Estimate {
            role: runner,
            what: "memory, idle",
            derivation: "runner.memory at 128, measured there",
            value: last_value("runner.memory")?,
            unit: "B",
            limit: Some(MEMORY_LIMIT_BYTES),
        },
        Estimate {
            role: runner,
            what: "processor time of requests",
            derivation: "runner.rate.cores × 7.4; of 8 generated tokens each, not 486",
            value: fitted_line("runner.rate.cores")?.slope * REQUESTS_PER_S / RUNNERS,
            unit: "cores",
            limit: None,
        },
        Estimate {
            role: store,
            what: "manifest of the configuration",
            derivation: "store.manifest at 10,000, measured there",
            value: last_value("store.manifest")?,
            unit: "B",
            limit: Some(VALUE_LIMIT_BYTES),
        },
        Estimate {
            role: store,
            what: "largest shard of the configuration",
            derivation: "store.largest_shard at 10,000, measured there",
            value: last_value("store.largest_shard")?,
            unit: "B",
            limit: Some(VALUE_LIMIT_BYTES),
        },
        Estimate {
            role: store,
            what: "bytes of shards written by a change",
            derivation: "store.change at 10,000, measured there",
            value: last_value("store.change")?,
            unit: "B",
            limit: None,
        },
        Estimate {
            role: store,
            what: "reads, on the mean",
            derivation: "arithmetic: 54 watchers × 2.5/s + 1,546 other daemons × 0.1/s",
            value: WATCHERS * WATCHER_READS_PER_S + (ENTRY_DAEMONS - WATCHERS) * OTHER_READS_PER_S,
            unit: "reads/s",
            limit: Some(READ_LIMIT_PER_S),
        },
        Estimate {
            role: store,
            what: "changes, on the mean",
            derivation: "arithmetic: 31,000 / 86,400 s",
            value: CHANGES_PER_DAY / SECONDS_PER_DAY,
            unit: "changes/s",
            limit: None,
        },
    ])
}
