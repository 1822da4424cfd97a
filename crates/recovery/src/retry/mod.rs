//! Retry decisions for idempotent requests.
//!
//! Each request has a [`Plan`], which limits the number of runners tried and computes the backoff.
//! All requests of a daemon share one [`Budget`], which limits the total rate of retries.

mod budget;
mod plan;

pub use budget::Budget;
pub use plan::Decision;
pub use plan::MAX_RUNNERS;
pub use plan::Plan;
