use std::io::Write;
use std::io::stdin;
use std::process::Command;
use std::process::Stdio;

use kumquattiller_inventory::Configuration;

use crate::Error;
use crate::Result;
use crate::slopes::sample;
use crate::slopes::series::Series;
use crate::slopes::usage;

/// Measured numbers of runners.
const RUNNERS: [usize; 4] = [0, 2_500, 5_000, 10_000];
/// Measured numbers of client accounts.
const ACCOUNTS: [usize; 4] = [0, 800, 1_600, 3_200];

/// Measures the memory of a process that holds one configuration.
///
/// Each size is measured in a process of its own.
///
/// # Errors
///
/// Fails when a process cannot be started or does not print its memory.
pub fn measure() -> Result<Vec<Series>, Error> {
    let runners: Result<Vec<_>, Error> =
        RUNNERS.iter().map(|n| Ok((*n as f64, measure_process(*n, 0)?))).collect();
    let accounts: Result<Vec<_>, Error> =
        ACCOUNTS.iter().map(|n| Ok((*n as f64, measure_process(0, *n)?))).collect();
    let what = "resident memory of a process that holds the parsed configuration";
    Ok(vec![
        Series::new("held.runners", what, "runners in the register", "B", runners?),
        Series::new("held.accounts", what, "client accounts in the register", "B", accounts?),
    ])
}

/// Starts a process that holds a configuration and returns its resident memory.
fn measure_process(runners: usize, accounts: usize) -> Result<f64, Error> {
    let text = serde_json::to_string(&sample::configuration(runners, accounts)?)?;
    let mut child = Command::new(std::env::current_exe()?)
        .args(["slopes", "--hold"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()?;
    child
        .stdin
        .take()
        .ok_or("the child process has no standard input")?
        .write_all(text.as_bytes())?;
    let output = child.wait_with_output()?;
    Ok(String::from_utf8(output.stdout)?.trim().parse()?)
}

/// Parses the configuration on standard input and prints the resident memory of this process, in
/// bytes, while the configuration is in memory.
///
/// # Errors
///
/// Fails when the input is not a valid configuration.
pub fn hold() -> Result {
    let configuration: Configuration = serde_json::from_reader(stdin().lock())?;
    println!("{}", usage::resident_bytes(std::process::id())?);
    drop(configuration);
    Ok(())
}
