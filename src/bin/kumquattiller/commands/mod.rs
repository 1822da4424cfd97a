//! The commands, in the order of the help text.

mod apply;
mod check;
mod diff;
mod drain;
mod explain;
mod proposal;
mod serve;
mod status;

use kumquattiller::command::Command;

/// Every command.
pub const ALL: &[Command] = &[
    Command { name: "serve", about: "run an entry daemon", cli: serve::cli, exec: serve::exec },
    Command {
        name: "check",
        about: "check register and rules",
        cli: check::cli,
        exec: check::exec,
    },
    Command {
        name: "diff",
        about: "show what applying register and rules would change",
        cli: diff::cli,
        exec: diff::exec,
    },
    Command {
        name: "apply",
        about: "make register and rules the accepted configuration",
        cli: apply::cli,
        exec: apply::exec,
    },
    Command {
        name: "status",
        about: "show which process holds which version",
        cli: status::cli,
        exec: status::exec,
    },
    Command {
        name: "drain",
        about: "tell a runner process to take no new work",
        cli: drain::cli,
        exec: drain::exec,
    },
    Command {
        name: "explain",
        about: "print the decisions about a request",
        cli: explain::cli,
        exec: explain::exec,
    },
];
