//! What the topics share.

use std::path::PathBuf;

use kumquattiller_support::fleet::Binaries;
use kumquattiller_support::fleet::Builder;

/// Begins a fleet of the programs under test.
pub fn fleet() -> Builder {
    Builder::new(Binaries {
        entry: PathBuf::from(env!("CARGO_BIN_EXE_kumquattiller")),
        runner: PathBuf::from(env!("CARGO_BIN_EXE_kumquattiller-runner")),
    })
}
