//! What the commands do.

mod explain;
mod run_runner;
mod serve;
mod signal;
mod traces;

pub use explain::ExplainOptions;
pub use explain::explain;
pub use run_runner::run_runner;
pub use serve::serve;
