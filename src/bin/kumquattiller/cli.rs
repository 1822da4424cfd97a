use std::process::ExitCode;

use kumquattiller::command;
use pico_args::Arguments;

use crate::commands;

/// Name of the program in its help and version texts.
const PROGRAM: &str = "kumquattiller";
/// Description at the head of the help text.
const ABOUT: &str = "Serves callers of language models, and lets operators drive the fleet.";

/// Runs the command that the arguments name and returns the exit code of the process.
pub fn main(args: Arguments) -> ExitCode {
    command::main(PROGRAM, ABOUT, commands::ALL, args)
}
