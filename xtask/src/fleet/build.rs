use std::path::PathBuf;
use std::process::Command;

use crate::Error;
use crate::root;

/// The folder with the built programs.
#[derive(Debug, Clone)]
pub struct Programs {
    folder: PathBuf,
}

impl Programs {
    /// Returns the path of the program `name`.
    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }
}

/// Builds the programs and the stand-ins, with optimizations when `release` is set.
///
/// # Errors
///
/// Fails when cargo cannot be run or the build fails.
pub fn build(release: bool) -> Result<Programs, Error> {
    let mut command = Command::new("cargo");
    command.args(["build", "--locked", "--bins"]);
    command.args(["--package", "kumquattiller", "--package", "kumquattiller-standins"]);
    if release {
        command.arg("--release");
    }
    if !command.current_dir(root()).status()?.success() {
        return Err("the build failed".into());
    }
    let profile = if release { "release" } else { "debug" };
    let folder = std::env::var_os("CARGO_TARGET_DIR").map_or(root().join("target"), PathBuf::from);
    Ok(Programs { folder: folder.join(profile) })
}
