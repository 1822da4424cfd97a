//! The commands, in the order of the help text.

mod explain;

use kumquattiller::command::Command;

/// Every command.
pub const ALL: &[Command] = &[Command {
    name: "explain",
    about: "print the decisions about a request",
    cli: explain::cli,
    exec: explain::exec,
}];
