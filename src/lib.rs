//! The operations of the command line, and the code that the two programs share.
//!
//! The programs under `src/bin` only read their arguments, call a function of [`ops`] and print
//! the result. [`command`] dispatches commands and parses arguments, [`settings`] reads and checks
//! the settings file of a process, and [`error`] assigns an exit code to every failure.

pub mod command;
pub mod error;
pub mod ops;
pub mod settings;
