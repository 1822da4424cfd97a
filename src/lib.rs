//! The operations behind the command line, and what the two programs share.
//!
//! The programs under `src/bin` are thin: each has a table of [`command::Command`]s, and a
//! command reads its arguments and calls a function of [`ops`]. [`settings`] reads the file
//! that tells a process its addresses and availability zone; [`error`] gives every failure an
//! exit code.

pub mod command;
pub mod error;
pub mod ops;
pub mod settings;
