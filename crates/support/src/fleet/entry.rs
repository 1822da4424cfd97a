use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use crate::fleet::Binaries;
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
