//! Command-line handling that both programs share: help, version, suggestions and exit codes.
//!
//! [`main`] looks the subcommand up in the table of a program and runs it. A command takes its
//! options out of the [`pico_args::Arguments`] and then calls [`reject_remaining`], which rejects
//! unknown arguments and suggests the most similar option of the command's help text.

mod arguments;
mod runtime;
mod suggestion;

use std::process::ExitCode;

use error_stack::Report;
use pico_args::Arguments;

use crate::error;
use crate::error::Error;

pub use arguments::optional_value;
pub use arguments::positional;
pub use arguments::reject_remaining;
pub use arguments::required_value;
pub use runtime::block_on;
pub use suggestion::closest;

/// A command of a program.
#[derive(Debug, Clone, Copy)]
pub struct Command {
    /// Its name on the command line.
    pub name: &'static str,
    /// One line for the list of commands.
    pub about: &'static str,
    /// Returns the help text.
    pub help: fn() -> &'static str,
    /// Reads the remaining arguments and runs the command.
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

/// Runs a program without subcommands and returns the exit code of the process.
pub fn main_without_subcommands(
    program: &str,
    help: fn() -> &'static str,
    exec: fn(Arguments) -> error::Result,
    args: Arguments,
) -> ExitCode {
    match run_command(program, help, exec, args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("error: {report:#}");
            report.current_context().code().into()
        }
    }
}

/// Runs the command that the arguments name.
fn dispatch(
    program: &str,
    about: &str,
    commands: &[Command],
    mut args: Arguments,
) -> error::Result {
    let name = args.subcommand().map_err(Error::from)?;
    let Some(name) = name else {
        return run_without_command(program, about, commands, args);
    };
    if name == "help" {
        print!("{}", usage(program, about, commands));
        return Ok(());
    }
    match commands.iter().find(|c| c.name == name) {
        Some(command) => run_command(program, command.help, command.exec, args),
        None => Err(unknown_command(program, &name, commands)),
    }
}

/// Handles a command line without a command: prints help or version, else fails.
fn run_without_command(
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
    reject_remaining(args, "  --help\n  --version\n")?;
    Err(Report::new(Error::usage(format!("no command given; see `{program} --help`"))))
}

/// Runs a command, or prints its help or the version when the arguments ask for that.
fn run_command(
    program: &str,
    help: fn() -> &'static str,
    exec: fn(Arguments) -> error::Result,
    mut args: Arguments,
) -> error::Result {
    if args.contains(["-h", "--help"]) {
        print!("{}", help());
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

/// Returns the help text of a program: its commands, options and exit codes.
fn usage(program: &str, about: &str, commands: &[Command]) -> String {
    let mut text = format!("{about}\n\nusage: {program} <command> [options]\n\ncommands:\n");
    for command in commands {
        text.push_str(&format!("  {:<10} {}\n", command.name, command.about));
    }
    text.push_str("\noptions:\n  -h, --help     print help, also of a command\n");
    text.push_str("  -V, --version  print the version\n\nexit codes:\n");
    text.push_str("  0  the operation was done\n");
    for code in error::Code::all() {
        text.push_str(&format!("  {}  {}\n", code.number(), code.description()));
    }
    text
}

/// Returns the error for an unknown command, with the most similar command as a suggestion.
fn unknown_command(program: &str, name: &str, commands: &[Command]) -> Report<Error> {
    let known = commands.iter().map(|c| c.name);
    let mut message = format!("no such command: `{name}`");
    if let Some(suggestion) = closest(name, known) {
        message.push_str(&format!("; did you mean `{suggestion}`?"));
    }
    message.push_str(&format!(" See `{program} --help`"));
    Report::new(Error::usage(message))
}
