use std::path::PathBuf;
use std::process::ExitCode;

use kumquattiller::command;
use kumquattiller::error;
use kumquattiller::ops;
use pico_args::Arguments;

/// Name of the program.
const PROGRAM: &str = "kumquattiller-runner";

/// Runs the program.
pub fn main(args: Arguments) -> ExitCode {
    command::main_of_one(PROGRAM, cli, exec, args)
}

/// Returns the help text.
fn cli() -> &'static str {
    "\
Runs the process beside a backend server until SIGTERM, then finishes its work and exits.

usage: kumquattiller-runner --settings FILE

  --settings FILE  the process's addresses and backend server, in JSON
  -h, --help       print this text
  -V, --version    print the version

The environment variable RUST_LOG sets the log filter.
"
}

/// Runs the program's only job.
fn exec(mut args: Arguments) -> error::Result {
    let file: PathBuf = command::required(&mut args, "--settings", cli())?;
    command::finish(args, cli())?;
    command::block_on(ops::run_runner(&file))
}
