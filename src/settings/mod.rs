//! The settings file of a process: its addresses and availability zone, in JSON.
//!
//! [`read`] runs before the process starts anything else. It checks the whole file and reports all
//! problems at once, each with file, line and field.

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
