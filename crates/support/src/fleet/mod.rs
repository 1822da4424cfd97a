//! A fleet of stand-ins and real programs.

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

/// Longest wait for a fleet to serve.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Longest wait for the graceful stop of a process.
const STOP_LIMIT: Duration = Duration::from_secs(30);
/// Model of the fleet's engines.
pub const MODEL: &str = "hotline-7b";
/// Service of the fleet's engines.
pub const MODEL_SERVICE: &str = "writing";
/// The fleet's plain service.
pub const PLAIN_SERVICE: &str = "cases";
/// Credential of the fleet's first client account, `hotline`.
pub const CREDENTIAL: &str = "credential-hotline";
/// Credential of the fleet's second client account, `wards`.
pub const OTHER_CREDENTIAL: &str = "credential-wards";

/// The programs under test.
#[derive(Debug, Clone)]
pub struct Binaries {
    /// The entry daemon.
    pub entry: PathBuf,
    /// The runner process.
    pub runner: PathBuf,
}

/// A running fleet; everything ends when it is dropped.
pub struct Fleet {
    /// The programs.
    pub binaries: Binaries,
    /// Folder of settings and logs.
    pub folder: PathBuf,
    /// Loopback address of the fleet.
    pub ip: Ipv4Addr,
    /// The platform.
    pub platform: platform::Server,
    /// Entry daemons.
    pub entries: Vec<Entry>,
    /// Runners of engines, then those of plain services.
    pub runners: Vec<Runner>,
    /// The configuration that was accepted last.
    pub configuration: Configuration,
}

impl Fleet {
    /// Returns a caller of the first client account at entry daemon `index`.
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

    /// Waits until every entry daemon is ready and serves a request on the fleet.
    ///
    /// # Panics
    ///
    /// Panics when that takes too long.
    pub async fn ready(&self) {
        for index in 0..self.entries.len() {
            let caller = self.caller(index);
            wait::until("readiness", READY_LIMIT, async || {
                caller.probe("/readyz").await == Some(200)
            })
            .await;
            let body = Caller::completion(MODEL, "ready", 1, false);
            wait::until("a first answer", READY_LIMIT, async || {
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
