//! Chores of the repository.
//!
//! Each chore is a module with a function `exec`. Chores may start processes; the programs of
//! the product start none.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

mod experiment;
mod generate;
mod lint;
mod test;

/// What a chore returns.
type Outcome = Result<(), Box<dyn std::error::Error>>;

const USAGE: &str = "\
usage: cargo xtask <chore>

  experiment           measure the routing decisions; see docs/MEASUREMENTS.md
  generate [--check]   write the link types, or check that the committed ones are fresh
  lint                 check imports, file sizes and places of tests
  test                 run all tests but those in KNOWN-RED.txt, which are printed
";

fn main() -> ExitCode {
    let mut args = pico_args::Arguments::from_env();
    let outcome = match args.subcommand().ok().flatten().as_deref() {
        Some("experiment") => experiment::exec(args),
        Some("generate") => generate::exec(args),
        Some("lint") => lint::exec(args),
        Some("test") => test::exec(args),
        _ => Err(USAGE.into()),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Returns the root of the repository.
fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}
