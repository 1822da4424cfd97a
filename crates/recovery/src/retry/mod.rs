//! Further attempts of idempotent requests.

mod budget;
mod plan;

pub use budget::Budget;
pub use plan::Decision;
pub use plan::MAX_RUNNERS;
pub use plan::Plan;
