use std::net::SocketAddr;

use kumquattiller::command;
use kumquattiller::error;
use kumquattiller::error::Error;
use kumquattiller::ops;
use kumquattiller::ops::Process;
use pico_args::Arguments;

/// Returns the help text.
pub fn help() -> &'static str {
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
/// Fails when the command line is invalid and when the store cannot be read.
pub fn exec(mut args: Arguments) -> error::Result {
    let json = args.contains("--json");
    let platform: String = command::required_value(&mut args, "--platform", help())?;
    let extra_addresses: Vec<SocketAddr> = args.values_from_str("--at").map_err(Error::from)?;
    command::reject_remaining(args, help())?;
    let status = command::block_on(ops::status(&platform, &extra_addresses))?;
    if json {
        println!("{}", serde_json::json!(status));
        return Ok(());
    }
    println!("accepted version {}", status.accepted);
    status.processes.iter().for_each(print_process);
    Ok(())
}

fn print_process(process: &Process) {
    let version = match process.version {
        Some(version) => format!("version {version}"),
        None => "no answer".to_owned(),
    };
    let leaving = if process.leaving { ", leaving" } else { "" };
    println!("{:<24} {:<22} {version}{leaving}", process.name, process.address.to_string());
}
