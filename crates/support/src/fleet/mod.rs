//! A fleet of stand-ins and the programs under test.

mod builder;
mod entry;
mod runner;

use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::time::Duration;

use kumquattiller_inventory::Configuration;
use kumquattiller_standins::engine;
use kumquattiller_standins::platform;
use kumquattiller_standins::service;

use crate::caller::Caller;
use crate::wait;

pub use builder::Builder;
pub use entry::Entry;
pub use runner::Backend;
pub use runner::Runner;

/// Maximum wait until a fleet serves requests.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum wait for the graceful exit of a process.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);
/// Name of the model that the fleet's engines serve.
pub const MODEL: &str = "hotline-7b";
/// Name of the service that the fleet's engines serve.
pub const MODEL_SERVICE: &str = "writing";
/// Name of the fleet's plain service.
pub const PLAIN_SERVICE: &str = "cases";
/// Credential of the fleet's first client account, `hotline`.
pub const CREDENTIAL: &str = "credential-hotline";
/// Credential of the fleet's second client account, `wards`.
pub const OTHER_CREDENTIAL: &str = "credential-wards";

/// Paths of the programs under test.
#[derive(Debug, Clone)]
pub struct Binaries {
    /// The entry daemon.
    pub entry: PathBuf,
    /// The runner process.
    pub runner: PathBuf,
}

/// A running fleet; dropping it stops all servers and processes.
pub struct Fleet {
    /// Paths of the programs under test.
    pub binaries: Binaries,
    /// Folder of the settings files and logs.
    pub folder: PathBuf,
    /// Loopback address of the fleet.
    pub ip: Ipv4Addr,
    /// The platform.
    pub platform: platform::Server,
    /// The entry daemons.
    pub entries: Vec<Entry>,
    /// The runners of the engines, followed by those of the plain service.
    pub runners: Vec<Runner>,
    /// The initial configuration.
    pub configuration: Configuration,
}

impl Fleet {
    /// Returns a caller that sends requests of the first client account to entry daemon `index`.
    pub fn caller(&self, index: usize) -> Caller {
        Caller::new(self.entries[index].http, CREDENTIAL)
    }

    /// Returns the engine of runner `index`.
    ///
    /// # Panics
    ///
    /// Panics when the runner has a plain service.
    pub fn engine(&self, index: usize) -> &engine::Server {
        match &self.runners[index].backend {
            Backend::Engine(server) => server,
            Backend::Service(_) => panic!("runner {index} has a plain service"),
        }
    }

    /// Returns the plain service of the last runner.
    ///
    /// # Panics
    ///
    /// Panics when the fleet has no plain service.
    pub fn service(&self) -> &service::Server {
        match self.runners.last().map(|runner| &runner.backend) {
            Some(Backend::Service(server)) => server,
            _ => panic!("the fleet has no plain service"),
        }
    }

    /// Returns how many links entry daemon `index` has to peers of a role, or `None` when it does not
    /// answer.
    pub async fn link_count(&self, index: usize, role: &str) -> Option<usize> {
        let request = self.caller(index).request("GET", "/metrics");
        let text = request.send().await.ok()?.text().await.ok()?;
        let metric = format!("kumquattiller_links{{peer=\"{role}\"}}");
        let line = text.lines().find(|line| line.starts_with(&metric))?;
        line.rsplit(' ').next()?.parse().ok()
    }

    /// Waits until every entry daemon has links to all runner processes.
    ///
    /// # Panics
    ///
    /// Panics when a link is not open in time.
    pub async fn wait_until_linked(&self) {
        for index in 0..self.entries.len() {
            wait::until("links to all runners", READY_TIMEOUT, async || {
                self.link_count(index, "runner").await == Some(self.runners.len())
            })
            .await;
        }
    }

    /// Waits until every entry daemon is ready and has served a request.
    ///
    /// # Panics
    ///
    /// Panics when an entry daemon is not ready in time.
    pub async fn wait_until_ready(&self) {
        for index in 0..self.entries.len() {
            let caller = self.caller(index);
            wait::until("readiness", READY_TIMEOUT, async || {
                caller.probe("/readyz").await == Some(200)
            })
            .await;
            let body = Caller::completion(MODEL, "ready", 1, false);
            wait::until("a first answer", READY_TIMEOUT, async || {
                caller.complete(&body).await.status == 200
            })
            .await;
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            for entry in &self.entries {
                eprintln!("== log of {}\n{}", entry.id, entry.program.log());
            }
            for runner in &self.runners {
                eprintln!("== log of {}\n{}", runner.id, runner.program.log());
            }
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
