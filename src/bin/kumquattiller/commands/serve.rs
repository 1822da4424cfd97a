use std::path::PathBuf;

use kumquattiller::command;
use kumquattiller::error;
use kumquattiller::ops;
use pico_args::Arguments;

/// Returns the help text.
pub fn cli() -> &'static str {
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
/// Fails on a wrong command line or wrong settings, or when an address cannot be listened on.
pub fn exec(mut args: Arguments) -> error::Result {
    let file: PathBuf = command::required(&mut args, "--settings", cli())?;
    command::finish(args, cli())?;
    command::block_on(ops::serve(&file))
}
