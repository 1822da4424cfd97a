//! Development tasks of the repository, run as `cargo xtask <chore>`.
//!
//! Each chore is a module with a function `exec`. Chores may start processes; the released programs
//! never do.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

mod caller;
mod demo;
mod experiment;
mod fleet;
mod generate;
mod lint;
mod load;
mod overhead;
mod readme;
mod slopes;
mod soak;
mod test;

/// The result of a chore and of its steps.
type Result<T = (), E = Error> = std::result::Result<T, E>;

/// An error that ends a chore; `main` prints it.
type Error = Box<dyn std::error::Error>;

const USAGE: &str = "\
usage: cargo xtask <chore>

  demo                 start everything, send requests, stop everything
  experiment           measure the routing decisions; see docs/MEASUREMENTS.md
  generate [--check]   write the link types, or check that the committed ones are fresh
  lint                 check imports, file sizes and places of tests
  load                 send a mix of requests to running entry daemons
  overhead             measure the path against calling a stand-in engine directly
  readme               put the demo's output into the README
  slopes [--check]     measure what processes cost at rising sizes, or check the page's tables
  soak                 break promises by faults: --seeds A-B, --minutes M, --report DIR
  test                 run all tests but those in KNOWN-RED.txt, which are printed
";

fn main() -> ExitCode {
    let mut args = pico_args::Arguments::from_env();
    let result = match args.subcommand().ok().flatten().as_deref() {
        Some("demo") => demo::exec(args),
        Some("experiment") => experiment::exec(args),
        Some("generate") => generate::exec(args),
        Some("lint") => lint::exec(args),
        Some("load") => load::exec(args),
        Some("overhead") => overhead::exec(args),
        Some("readme") => readme::exec(args),
        Some("slopes") => slopes::exec(args),
        Some("soak") => soak::exec(args),
        Some("test") => test::exec(args),
        _ => Err(USAGE.into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Returns the root folder of the repository.
fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}
