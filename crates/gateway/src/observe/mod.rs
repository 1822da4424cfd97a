//! Logs and metrics of the process.

mod connections;
mod log;
mod metrics;
mod queue;
mod store_call;

pub use log::init;
pub use metrics::Metrics;
pub use metrics::State;
pub use store_call::CallOutcome;
pub use store_call::Purpose;
pub use store_call::StoreCall;
