use std::path::PathBuf;

use kumquattiller::command;
use kumquattiller::error;
use kumquattiller::ops::Files;
use kumquattiller_inventory::schema;
use pico_args::Arguments;

/// Returns the help text.
pub fn help() -> &'static str {
    "\
Checks register and rules and prints every problem at once.

usage: kumquattiller check --register FILE --rules FILE
       kumquattiller check --schema

  --register FILE  register of places, services, runners and client accounts
  --rules FILE     rules on top of the register
  --schema         print the JSON schemas of both files
  -h, --help       print this text
"
}

/// Runs the command.
///
/// # Errors
///
/// Fails when the command line or a file is invalid.
pub fn exec(mut args: Arguments) -> error::Result {
    if args.contains("--schema") {
        command::reject_remaining(args, help())?;
        let schemas = serde_json::json!({"register": schema::register(), "rules": schema::rules()});
        println!("{schemas:#}");
        return Ok(());
    }
    let register: PathBuf = command::required_value(&mut args, "--register", help())?;
    let rules: PathBuf = command::required_value(&mut args, "--rules", help())?;
    command::reject_remaining(args, help())?;
    let files = Files::read(&register, &rules)?;
    let register = files.configuration.register;
    println!(
        "valid: {} services, {} runners, {} client accounts",
        register.services.len(),
        register.runners.len(),
        register.accounts.len(),
    );
    Ok(())
}
