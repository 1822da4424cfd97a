use std::io::Write;
use std::io::stdin;
use std::process::Command;
use std::process::Stdio;

use kumquattiller_inventory::Configuration;

use crate::Failure;
use crate::Outcome;
use crate::slopes::sample;
use crate::slopes::series::Series;
use crate::slopes::usage;

/// Numbers of runners that are held.
const RUNNERS: [usize; 4] = [0, 2_500, 5_000, 10_000];
/// Numbers of client accounts that are held.
const ACCOUNTS: [usize; 4] = [0, 800, 1_600, 3_200];

/// Measures the memory of a process that holds one configuration, in a process for each size.
///
/// # Errors
///
/// Fails when a process cannot be started.
pub fn measure() -> Result<Vec<Series>, Failure> {
    let runners: Result<Vec<_>, Failure> =
        RUNNERS.iter().map(|n| Ok((*n as f64, ask(*n, 0)?))).collect();
    let accounts: Result<Vec<_>, Failure> =
        ACCOUNTS.iter().map(|n| Ok((*n as f64, ask(0, *n)?))).collect();
    let what = "resident memory of a process that holds the parsed configuration";
    Ok(vec![
        Series::new("held.runners", what, "runners in the register", "B", runners?),
        Series::new("held.accounts", what, "client accounts in the register", "B", accounts?),
    ])
}

/// Starts a process that holds a configuration and returns its resident memory.
fn ask(runners: usize, accounts: usize) -> Result<f64, Failure> {
    let text = serde_json::to_string(&sample::configuration(runners, accounts)?)?;
    let mut child = Command::new(std::env::current_exe()?)
        .args(["slopes", "--hold"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()?;
    child.stdin.take().ok_or("a child without input")?.write_all(text.as_bytes())?;
    let output = child.wait_with_output()?;
    Ok(String::from_utf8(output.stdout)?.trim().parse()?)
}

/// Holds the configuration on standard input and prints the resident memory of this process.
///
/// # Errors
///
/// Fails when the input is not a configuration.
pub fn hold() -> Outcome {
    let configuration: Configuration = serde_json::from_reader(stdin().lock())?;
    println!("{}", usage::resident_bytes(std::process::id())?);
    drop(configuration);
    Ok(())
}
