use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use kumquattiller_dialect::platform::Phase;
use kumquattiller_dialect::platform::Vm;

use crate::fleet::Binaries;
use crate::fleet::STOP_LIMIT;
use crate::program::Program;

/// An entry daemon of a fleet.
#[derive(Debug)]
pub struct Entry {
    /// Its id.
    pub id: String,
    /// Where callers reach it.
    pub http: SocketAddr,
    /// Where daemons and operators reach it.
    pub link: SocketAddr,
    /// Its settings file.
    pub settings: PathBuf,
    /// Its process.
    pub program: Program,
}

impl Entry {
    /// Waits for the end of a process that was asked to stop.
    ///
    /// # Panics
    ///
    /// Panics when it does not end in time.
    pub async fn stopped(&mut self) {
        self.program.exit_code(STOP_LIMIT).await;
    }

    /// Returns the daemon as the platform lists it.
    pub fn vm(&self, zone: &str) -> Vm {
        Vm {
            name: self.id.clone(),
            address: self.link.to_string(),
            zone: zone.to_owned(),
            role: "entry".to_owned(),
            phase: Phase::Live,
        }
    }

    /// Starts the process again with the same settings.
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
