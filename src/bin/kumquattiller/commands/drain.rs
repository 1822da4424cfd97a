use std::net::SocketAddr;

use kumquattiller::command;
use kumquattiller::error;
use kumquattiller::ops;
use pico_args::Arguments;

/// Returns the help text.
pub fn help() -> &'static str {
    "\
Tells a runner process to take no new work, and returns once it takes none. Requests under way
go on to their end. A later start of the process takes work again.

usage: kumquattiller drain <IP:PORT>

  <IP:PORT>   link address of the runner process
  -h, --help  print this text
"
}

/// Runs the command.
///
/// # Errors
///
/// Fails when the command line is invalid, and when the process does not answer or still accepts
/// new work.
pub fn exec(mut args: Arguments) -> error::Result {
    let address: SocketAddr = command::positional(&mut args, "IP:PORT", help())?;
    command::reject_remaining(args, help())?;
    let name = command::block_on(ops::drain(address))?;
    println!("{name} takes no new work");
    Ok(())
}
