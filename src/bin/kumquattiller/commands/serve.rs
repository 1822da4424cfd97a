use std::path::PathBuf;

use kumquattiller::command;
use kumquattiller::error;
use kumquattiller::ops;
use pico_args::Arguments;

/// Returns the help text.
pub fn help() -> &'static str {
    "\
Runs an entry daemon until SIGTERM, then finishes its requests and exits.

usage: kumquattiller serve --settings FILE

  --settings FILE  the daemon's addresses and availability zone, in JSON
  -h, --help       print this text

The environment variable RUST_LOG sets the log filter.
"
}

/// Runs the command.
///
/// # Errors
///
/// Fails when the command line or the settings are invalid, and when an address of the settings
/// cannot be bound.
pub fn exec(mut args: Arguments) -> error::Result {
    let file: PathBuf = command::required_value(&mut args, "--settings", help())?;
    command::reject_remaining(args, help())?;
    command::block_on(ops::serve(&file))
}
