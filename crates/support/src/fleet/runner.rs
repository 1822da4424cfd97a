use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use kumquattiller_standins::engine;
use kumquattiller_standins::service;

use crate::fleet::Binaries;
use crate::fleet::STOP_LIMIT;
use crate::program::Program;
use crate::relay::Relay;

/// The backend server of a runner.
pub enum Backend {
    /// A model engine.
    Engine(engine::Server),
    /// A plain service.
    Service(service::Server),
}

/// A runner of a fleet.
pub struct Runner {
    /// Its id.
    pub id: String,
    /// Where its process listens.
    pub link: SocketAddr,
    /// Stands between entry daemons and the process.
    pub relay: Relay,
    /// Its settings file.
    pub settings: PathBuf,
    /// Its process.
    pub program: Program,
    /// Its backend server.
    pub backend: Backend,
}

impl Runner {
    /// Waits for the end of a process that was asked to stop.
    ///
    /// # Panics
    ///
    /// Panics when it does not end in time.
    pub async fn stopped(&mut self) {
        self.program.exit_code(STOP_LIMIT).await;
    }

    /// Starts the process again with the same settings.
    pub fn restart(&mut self, binaries: &Binaries) {
        self.program = start(binaries, &self.settings);
    }
}

/// Starts a runner process with a settings file.
pub(super) fn start(binaries: &Binaries, settings: &Path) -> Program {
    let log = settings.with_extension("log");
    let file = settings.to_string_lossy();
    Program::start(&binaries.runner, &["--settings", &file], &log)
}
