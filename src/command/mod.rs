//! The shell around commands: help, version, suggestions and exit codes.
//!
//! [`main`] looks the subcommand up in the table of a program and runs it. A command takes its
//! options out of the [`pico_args::Arguments`] and then calls [`finish`], which refuses what
//! is left and suggests the nearest known option from the command's help text.

mod arguments;
mod runtime;
mod suggestion;

use std::process::ExitCode;

use error_stack::Report;
use pico_args::Arguments;

use crate::error;
use crate::error::Error;

pub use arguments::finish;
pub use arguments::free;
pub use arguments::optional;
pub use arguments::required;
pub use runtime::block_on;
pub use suggestion::nearest;

/// A command of a program.
#[derive(Debug, Clone, Copy)]
pub struct Command {
    /// Its name on the command line.
    pub name: &'static str,
    /// One line for the list of commands.
    pub about: &'static str,
    /// Returns the text of `--help`.
    pub cli: fn() -> &'static str,
    /// Runs it.
    pub exec: fn(Arguments) -> error::Result,
}

/// Runs the command that the arguments name and returns the exit code of the process.
pub fn main(program: &str, about: &str, commands: &[Command], args: Arguments) -> ExitCode {
    match dispatch(program, about, commands, args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("error: {report:#}");
            report.current_context().code().into()
        }
    }
}

/// Runs a program that has a single job.
pub fn main_of_one(
    program: &str,
    cli: fn() -> &'static str,
    exec: fn(Arguments) -> error::Result,
    args: Arguments,
) -> ExitCode {
    match run_one(program, cli, exec, args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("error: {report:#}");
            report.current_context().code().into()
        }
    }
}

/// Finds and runs the command.
fn dispatch(
    program: &str,
    about: &str,
    commands: &[Command],
    mut args: Arguments,
) -> error::Result {
    let name = args.subcommand().map_err(Error::from)?;
    let Some(name) = name else {
        return without_command(program, about, commands, args);
    };
    if name == "help" {
        print!("{}", usage(program, about, commands));
        return Ok(());
    }
    match commands.iter().find(|c| c.name == name) {
        Some(command) => run_one(program, command.cli, command.exec, args),
        None => Err(unknown_command(program, &name, commands)),
    }
}

/// Answers `--help` and `--version`, and refuses an empty command line.
fn without_command(
    program: &str,
    about: &str,
    commands: &[Command],
    mut args: Arguments,
) -> error::Result {
    if args.contains(["-V", "--version"]) {
        print_version(program);
        return Ok(());
    }
    if args.contains(["-h", "--help"]) {
        print!("{}", usage(program, about, commands));
        return Ok(());
    }
    finish(args, "  --help\n  --version\n")?;
    Err(Report::new(Error::usage(format!("no command given; see `{program} --help`"))))
}

/// Answers `--help` and `--version` of a command, else runs it.
fn run_one(
    program: &str,
    cli: fn() -> &'static str,
    exec: fn(Arguments) -> error::Result,
    mut args: Arguments,
) -> error::Result {
    if args.contains(["-h", "--help"]) {
        print!("{}", cli());
        return Ok(());
    }
    if args.contains(["-V", "--version"]) {
        print_version(program);
        return Ok(());
    }
    exec(args)
}

fn print_version(program: &str) {
    println!("{program} {}", env!("CARGO_PKG_VERSION"));
}

/// Returns the list of commands with one line each.
fn usage(program: &str, about: &str, commands: &[Command]) -> String {
    let mut text = format!("{about}\n\nusage: {program} <command> [options]\n\ncommands:\n");
    for command in commands {
        text.push_str(&format!("  {:<10} {}\n", command.name, command.about));
    }
    text.push_str("\noptions:\n  -h, --help     print help, also of a command\n");
    text.push_str("  -V, --version  print the version\n\nexit codes:\n");
    text.push_str("  0  the operation was done\n");
    for code in error::Code::all() {
        text.push_str(&format!("  {}  {}\n", code.number(), code.about()));
    }
    text
}

/// Refuses a name that is no command.
fn unknown_command(program: &str, name: &str, commands: &[Command]) -> Report<Error> {
    let known = commands.iter().map(|c| c.name);
    let mut message = format!("no such command: `{name}`");
    if let Some(near) = nearest(name, known) {
        message.push_str(&format!("; did you mean `{near}`?"));
    }
    message.push_str(&format!(" See `{program} --help`"));
    Report::new(Error::usage(message))
}
