//! Logs and metrics of the process.

mod log;
mod metrics;

pub use log::init;
pub use metrics::Metrics;
pub use metrics::State;
