//! The entry daemon and the operators' command line.

mod cli;
mod commands;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::main(pico_args::Arguments::from_env())
}
