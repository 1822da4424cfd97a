use std::path::PathBuf;
use std::process::ExitCode;

use kumquattiller::command;
use kumquattiller::error;
use kumquattiller::ops;
use pico_args::Arguments;

/// Name of the program in its help and version texts.
const PROGRAM: &str = "kumquattiller-runner";

/// Runs the runner process and returns its exit code.
pub fn main(args: Arguments) -> ExitCode {
    command::main_without_subcommands(PROGRAM, help, exec, args)
}

/// Returns the help text.
fn help() -> &'static str {
    "\
Runs the process beside a backend server until SIGTERM, then finishes its work and exits.

usage: kumquattiller-runner --settings FILE

  --settings FILE  the process's addresses and backend server, in JSON
  -h, --help       print this text
  -V, --version    print the version

The environment variable RUST_LOG sets the log filter.
"
}

/// Reads the arguments and runs the process until it is asked to stop.
fn exec(mut args: Arguments) -> error::Result {
    let file: PathBuf = command::required_value(&mut args, "--settings", help())?;
    command::reject_remaining(args, help())?;
    command::block_on(ops::run_runner(&file))
}
