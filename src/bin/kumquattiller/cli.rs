use std::process::ExitCode;

use kumquattiller::command;
use pico_args::Arguments;

use crate::commands;

/// Name of the program.
const PROGRAM: &str = "kumquattiller";
/// What the program is for.
const ABOUT: &str = "Serves callers of language models, and lets operators drive the fleet.";

/// Runs the command that the arguments name.
pub fn main(args: Arguments) -> ExitCode {
    command::main(PROGRAM, ABOUT, commands::ALL, args)
}
