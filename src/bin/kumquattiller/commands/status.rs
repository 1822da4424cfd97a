use std::net::SocketAddr;

use kumquattiller::command;
use kumquattiller::error;
use kumquattiller::error::Error;
use kumquattiller::ops;
use kumquattiller::ops::Process;
use pico_args::Arguments;

/// Returns the help text.
pub fn cli() -> &'static str {
    "\
Shows the accepted version and the version that each process holds.

usage: kumquattiller status --platform URL [--at IP:PORT]... [--json]

  --platform URL  base URL of the platform
  --at IP:PORT    link address of a process that neither register nor VM list names
  --json          print one JSON object
  -h, --help      print this text
"
}

/// Runs the command.
///
/// # Errors
///
/// Fails on a wrong command line or when the store cannot be read.
pub fn exec(mut args: Arguments) -> error::Result {
    let json = args.contains("--json");
    let platform: String = command::required(&mut args, "--platform", cli())?;
    let also: Vec<SocketAddr> = args.values_from_str("--at").map_err(Error::from)?;
    command::finish(args, cli())?;
    let status = command::block_on(ops::status(&platform, &also))?;
    if json {
        println!("{}", serde_json::json!(status));
        return Ok(());
    }
    println!("accepted version {}", status.accepted);
    status.processes.iter().for_each(print);
    Ok(())
}

fn print(process: &Process) {
    let version = match process.version {
        Some(version) => format!("version {version}"),
        None => "no answer".to_owned(),
    };
    let leaving = if process.leaving { ", leaving" } else { "" };
    println!("{:<24} {:<22} {version}{leaving}", process.name, process.address.to_string());
}
