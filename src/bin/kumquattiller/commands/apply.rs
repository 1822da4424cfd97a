use kumquattiller::command;
use kumquattiller::error;
use kumquattiller::ops;
use kumquattiller_rollout::commit::Outcome;
use pico_args::Arguments;

use crate::commands::proposal::Proposal;

/// Returns the help text.
pub fn help() -> &'static str {
    "\
Makes register and rules the accepted configuration, after the whole check. When another
operator is first, nothing is changed, their change is shown, and the exit code is 4.

usage: kumquattiller apply --platform URL --register FILE --rules FILE [--json]

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
/// Fails when the command line or a file is invalid, when another operator's change came first,
/// and when the store cannot be reached.
pub fn exec(args: Arguments) -> error::Result {
    let Proposal { platform, files, json } = Proposal::read(args, help())?;
    let outcome = command::block_on(ops::apply(&platform, &files))?;
    match outcome {
        Outcome::Accepted(version) if json => {
            println!("{}", serde_json::json!({"accepted": version, "changed": true}));
        }
        Outcome::Unchanged(version) if json => {
            println!("{}", serde_json::json!({"accepted": version, "changed": false}));
        }
        outcome => println!("{outcome}"),
    }
    Ok(())
}
