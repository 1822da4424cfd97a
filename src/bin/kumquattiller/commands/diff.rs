use kumquattiller::command;
use kumquattiller::error;
use kumquattiller::error::Code;
use kumquattiller::error::Error;
use kumquattiller::ops;
use pico_args::Arguments;

use crate::commands::proposal::Proposal;

/// Returns the help text.
pub fn help() -> &'static str {
    "\
Shows what applying register and rules would change. Exits with 7 when something would.

usage: kumquattiller diff --platform URL --register FILE --rules FILE [--json]

  --platform URL   base URL of the platform
  --register FILE  register of places, services, runners and client accounts
  --rules FILE     rules on top of the register
  --json           print one JSON object
  -h, --help       print this text
"
}

/// Runs the command.
///
/// # Errors
///
/// Fails when the command line or a file is invalid, when the store cannot be reached, and when
/// the configurations differ.
pub fn exec(args: Arguments) -> error::Result {
    let Proposal { platform, files, json } = Proposal::read(args, help())?;
    let difference = command::block_on(ops::diff(&platform, &files))?;
    if json {
        println!("{}", serde_json::json!(difference));
    } else {
        println!("{difference}");
    }
    if difference.is_empty() {
        return Ok(());
    }
    Err(Error::new(Code::Differs, "the files differ from the accepted configuration").into())
}
