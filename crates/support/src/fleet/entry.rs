use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use kumquattiller_dialect::platform::Phase;
use kumquattiller_dialect::platform::Vm;

use crate::fleet::Binaries;
use crate::fleet::STOP_TIMEOUT;
use crate::program::Program;

/// An entry daemon of a fleet.
#[derive(Debug)]
pub struct Entry {
    /// Id of the daemon.
    pub id: String,
    /// Address for HTTP requests of callers.
    pub http: SocketAddr,
    /// Address for connections of daemons and operators.
    pub link: SocketAddr,
    /// Path of the settings file.
    pub settings: PathBuf,
    /// The process.
    pub program: Program,
}

impl Entry {
    /// Waits until the process has exited after a request to stop.
    ///
    /// # Panics
    ///
    /// Panics when the process does not exit in time.
    pub async fn wait_for_exit(&mut self) {
        self.program.exit_code(STOP_TIMEOUT).await;
    }

    /// Returns the daemon's entry in the platform's list of VMs.
    pub fn vm(&self, zone: &str) -> Vm {
        Vm {
            name: self.id.clone(),
            address: self.link.to_string(),
            zone: zone.to_owned(),
            role: "entry".to_owned(),
            phase: Phase::Live,
        }
    }

    /// Starts a new process with the same settings.
    pub fn restart(&mut self, binaries: &Binaries) {
        self.program = start(binaries, &self.settings);
    }
}

/// Starts an entry daemon with a settings file.
pub(super) fn start(binaries: &Binaries, settings: &Path) -> Program {
    let log = settings.with_extension("log");
    let file = settings.to_string_lossy();
    Program::start(&binaries.entry, &["serve", "--settings", &file], &log)
}
