//! The settings file of a process: its addresses and availability zone, in JSON.
//!
//! [`read`] checks the whole file before anything starts and reports all problems at once,
//! each with file, field and line.

mod check;
mod document;
mod problem;
mod processes;
mod reader;

pub use check::Check;
pub use document::Document;
pub use problem::Problem;
pub use reader::parse;
pub use reader::read;
