use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use kumquattiller_standins::engine;
use kumquattiller_standins::service;

use crate::fleet::Binaries;
use crate::fleet::STOP_TIMEOUT;
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
    /// Id of the runner.
    pub id: String,
    /// Address that the runner process listens on.
    pub link: SocketAddr,
    /// Relay between the entry daemons and the process.
    pub relay: Relay,
    /// Path of the settings file.
    pub settings: PathBuf,
    /// The process.
    pub program: Program,
    /// The backend server.
    pub backend: Backend,
}

impl Runner {
    /// Waits until the process has exited after a request to stop.
    ///
    /// # Panics
    ///
    /// Panics when the process does not exit in time.
    pub async fn wait_for_exit(&mut self) {
        self.program.exit_code(STOP_TIMEOUT).await;
    }

    /// Starts a new process with the same settings.
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
