use std::path::PathBuf;

use kumquattiller::command;
use kumquattiller::error;
use kumquattiller::ops::Files;
use pico_args::Arguments;

/// Arguments of `diff` and `apply`: a checked configuration and the platform that it is for.
#[derive(Debug)]
pub struct Proposal {
    /// Base URL of the platform.
    pub platform: String,
    /// The register and rules files, read and checked.
    pub files: Files,
    /// Whether the result is printed as JSON.
    pub json: bool,
}

impl Proposal {
    /// Reads the arguments and the files that they name; `help` is the help text of the command.
    ///
    /// # Errors
    ///
    /// Fails when the command line or a file is invalid.
    pub fn read(mut args: Arguments, help: &str) -> error::Result<Self> {
        let json = args.contains("--json");
        let platform = command::required_value(&mut args, "--platform", help)?;
        let register: PathBuf = command::required_value(&mut args, "--register", help)?;
        let rules: PathBuf = command::required_value(&mut args, "--rules", help)?;
        command::reject_remaining(args, help)?;
        let files = Files::read(&register, &rules)?;
        Ok(Self { platform, files, json })
    }
}
