//! The subcommands of `kumquattiller`: each module reads a command's arguments, runs its operation
//! and prints the result.

mod apply;
mod check;
mod diff;
mod drain;
mod explain;
mod proposal;
mod serve;
mod status;

use kumquattiller::command::Command;

/// All commands, in the order in which the help text lists them.
pub const ALL: &[Command] = &[
    Command { name: "serve", about: "run an entry daemon", help: serve::help, exec: serve::exec },
    Command {
        name: "check",
        about: "check register and rules",
        help: check::help,
        exec: check::exec,
    },
    Command {
        name: "diff",
        about: "show what applying register and rules would change",
        help: diff::help,
        exec: diff::exec,
    },
    Command {
        name: "apply",
        about: "make register and rules the accepted configuration",
        help: apply::help,
        exec: apply::exec,
    },
    Command {
        name: "status",
        about: "show which process holds which version",
        help: status::help,
        exec: status::exec,
    },
    Command {
        name: "drain",
        about: "tell a runner process to take no new work",
        help: drain::help,
        exec: drain::exec,
    },
    Command {
        name: "explain",
        about: "print the decisions about a request",
        help: explain::help,
        exec: explain::exec,
    },
];
