use std::collections::BTreeMap;
use std::net::SocketAddr;

use error_stack::ResultExt;
use futures::StreamExt;
use futures::stream;
use kumquattiller_inventory::Version;
use kumquattiller_link::Link;
use serde::Serialize;

use crate::error;
use crate::error::Error;
use crate::ops::operator;
use crate::ops::store;

/// Most processes that are queried at the same time.
const MAX_CONCURRENT_QUERIES: usize = 32;

/// A process and its configuration version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Process {
    /// Id of the daemon or runner.
    pub name: String,
    /// Its link address.
    pub address: SocketAddr,
    /// The configuration version that it holds; `None` when it did not answer.
    pub version: Option<Version>,
    /// Whether it reports that it accepts no new work.
    pub leaving: bool,
}

/// The accepted configuration version and the versions that the processes hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Status {
    /// The accepted version in the store.
    pub accepted: Version,
    /// Entry daemons and runner processes, sorted by name.
    pub processes: Vec<Process>,
}

impl Status {
    /// Returns whether every process that answered holds the accepted version.
    pub fn all_hold_accepted(&self) -> bool {
        let mut answered = self.processes.iter().filter_map(|process| process.version);
        answered.all(|version| version == self.accepted)
    }
}

/// Reads the accepted version from the store, and the version that each process holds.
///
/// The processes are those in the VM list and the register, and those at `extra_addresses`. The
/// VM list is left out when the platform cannot be read.
///
/// # Errors
///
/// Fails when the store cannot be read.
pub async fn status(platform_url: &str, extra_addresses: &[SocketAddr]) -> error::Result<Status> {
    let store = store::configuration_store(platform_url);
    let context = || Error::unreachable(format!("cannot read the store at {platform_url}"));
    let manifest = store.manifest().await.change_context_lazy(context)?.manifest;
    let items = store.items(&manifest).await.change_context_lazy(context)?;
    let configuration = items.configuration(manifest.version).change_context_lazy(context)?;
    let mut names = BTreeMap::new();
    for vm in store::platform_client(platform_url).vms().await.unwrap_or_default().vms {
        if let Ok(address) = vm.address.parse() {
            names.insert(address, vm.name);
        }
    }
    for runner in configuration.register.runners {
        names.insert(runner.address, runner.id.to_string());
    }
    names.extend(extra_addresses.iter().map(|address| (*address, address.to_string())));
    let queries = stream::iter(names).map(|(address, name)| query(name, address));
    let mut processes: Vec<Process> =
        queries.buffer_unordered(MAX_CONCURRENT_QUERIES).collect().await;
    processes.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(Status { accepted: manifest.version, processes })
}

/// Connects to one process, which reports its version and load in the handshake.
async fn query(name: String, address: SocketAddr) -> Process {
    match Link::connect(address, &operator::identity(), 0).await {
        Ok(link) => Process {
            name: link.peer.name,
            address,
            version: Some(Version::new(link.config_version)),
            leaving: link.load.is_some_and(|load| load.leaving),
        },
        Err(_) => Process { name, address, version: None, leaving: false },
    }
}
