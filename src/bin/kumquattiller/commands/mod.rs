//! The commands, in the order of the help text.

mod explain;
mod serve;

use kumquattiller::command::Command;

/// Every command.
pub const ALL: &[Command] = &[
    Command { name: "serve", about: "run an entry daemon", cli: serve::cli, exec: serve::exec },
    Command {
        name: "explain",
        about: "print the decisions about a request",
        cli: explain::cli,
        exec: explain::exec,
    },
];
