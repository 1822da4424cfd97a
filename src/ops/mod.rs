//! The operations of the commands.
//!
//! `serve` and `run_runner` run a process. The others act for an operator: on the accepted
//! configuration in the store of the platform, or on processes over links.

mod apply;
mod diff;
mod drain;
mod explain;
mod files;
mod operator;
mod run_runner;
mod serve;
mod signal;
mod status;
mod store;
mod traces;

pub use apply::apply;
pub use diff::diff;
pub use drain::drain;
pub use explain::ExplainOptions;
pub use explain::explain;
pub use files::Files;
pub use run_runner::run_runner;
pub use serve::serve;
pub use status::Process;
pub use status::Status;
pub use status::status;
