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

/// Processes that are asked at a time.
const PARALLEL_QUESTIONS: usize = 32;

/// A process and the version that it holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Process {
    /// Id of the daemon or runner.
    pub name: String,
    /// Its link address.
    pub address: SocketAddr,
    /// The version that it holds; `None` when it did not answer.
    pub version: Option<Version>,
    /// Whether it reports that it takes no new work.
    pub leaving: bool,
}

/// The accepted version and who holds which.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Status {
    /// The version in the store.
    pub accepted: Version,
    /// Entry daemons and runner processes by name.
    pub processes: Vec<Process>,
}

impl Status {
    /// Tells whether every process that answered holds the accepted version.
    pub fn is_in_force(&self) -> bool {
        let mut answered = self.processes.iter().filter_map(|process| process.version);
        answered.all(|version| version == self.accepted)
    }
}

/// Asks the store for the accepted version and every known process for its own.
///
/// # Errors
///
/// Fails when the store cannot be read.
pub async fn status(platform_url: &str, also: &[SocketAddr]) -> error::Result<Status> {
    let store = store::configuration(platform_url);
    let context = || Error::unreachable(format!("cannot read the store at {platform_url}"));
    let manifest = store.manifest().await.change_context_lazy(context)?.manifest;
    let items = store.items(&manifest).await.change_context_lazy(context)?;
    let configuration = items.configuration(manifest.version).change_context_lazy(context)?;
    let mut known = BTreeMap::new();
    for vm in store::platform(platform_url).vms().await.unwrap_or_default().vms {
        if let Ok(address) = vm.address.parse() {
            known.insert(address, vm.name);
        }
    }
    for runner in configuration.register.runners {
        known.insert(runner.address, runner.id.to_string());
    }
    known.extend(also.iter().map(|address| (*address, address.to_string())));
    let questions = stream::iter(known).map(|(address, name)| ask(name, address));
    let mut processes: Vec<Process> =
        questions.buffer_unordered(PARALLEL_QUESTIONS).collect().await;
    processes.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(Status { accepted: manifest.version, processes })
}

/// Asks one process by greeting it.
async fn ask(name: String, address: SocketAddr) -> Process {
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
