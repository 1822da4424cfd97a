//! Failures of commands and their exit codes.

mod code;
mod failure;

use error_stack::Report;

pub use code::Code;
pub use failure::Error;

/// Result of a command.
pub type Result<T = ()> = std::result::Result<T, Report<Error>>;
