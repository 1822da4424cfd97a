use std::net::SocketAddr;

use kumquattiller::command;
use kumquattiller::error;
use kumquattiller::error::Error;
use kumquattiller::ops;
use kumquattiller::ops::ExplainOptions;
use pico_args::Arguments;

/// Returns the help text.
pub fn help() -> &'static str {
    "\
Prints the decisions about a request, as the processes recorded them.

usage: kumquattiller explain --at IP:PORT [--at IP:PORT]... [--json] <request>

  --at IP:PORT  link address of an entry daemon or runner process to ask
  --json        print one JSON object
  -h, --help    print this text
"
}

/// Runs the command.
///
/// # Errors
///
/// Fails when the command line is invalid, and when no process answers or has a record of the
/// request.
pub fn exec(mut args: Arguments) -> error::Result {
    let json = args.contains("--json");
    let processes: Vec<SocketAddr> = args.values_from_str("--at").map_err(Error::from)?;
    let request = command::positional(&mut args, "request", help())?;
    command::reject_remaining(args, help())?;
    if processes.is_empty() {
        return Err(Error::usage("option `--at` is missing").into());
    }
    let options = ExplainOptions { request, processes };
    let lines = command::block_on(ops::explain(&options))?;
    if json {
        println!("{}", serde_json::json!({ "request": options.request, "lines": lines }));
        return Ok(());
    }
    for line in lines {
        println!("{line}");
    }
    Ok(())
}
