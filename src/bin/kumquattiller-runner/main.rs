//! The runner process, which runs beside each backend server.

mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::main(pico_args::Arguments::from_env())
}
