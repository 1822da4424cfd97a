use std::path::PathBuf;

use kumquattiller::command;
use kumquattiller::error;
use kumquattiller::ops::Files;
use pico_args::Arguments;

/// What an operator proposes: checked files and the platform that they are meant for.
#[derive(Debug)]
pub struct Proposal {
    /// Base URL of the platform.
    pub platform: String,
    /// Register and rules.
    pub files: Files,
    /// Whether the result is printed as JSON.
    pub json: bool,
}

impl Proposal {
    /// Reads the arguments and the files; `cli` is the help text of the command.
    ///
    /// # Errors
    ///
    /// Fails on a wrong command line or a wrong file.
    pub fn read(mut args: Arguments, cli: &str) -> error::Result<Self> {
        let json = args.contains("--json");
        let platform = command::required(&mut args, "--platform", cli)?;
        let register: PathBuf = command::required(&mut args, "--register", cli)?;
        let rules: PathBuf = command::required(&mut args, "--rules", cli)?;
        command::finish(args, cli)?;
        let files = Files::read(&register, &rules)?;
        Ok(Self { platform, files, json })
    }
}
