//! Plans that order what each engine has loaded.
//!
//! [`targets`] computes the desired state of all runners from the configuration. [`Plan::advance`]
//! moves the orders in force towards it in steps, limited by [`Limiter`].

/// Kind of the plan object in the store.
pub const KIND: &str = "plan";
/// Name of the plan object in the store.
pub const NAME: &str = "engines";

mod document;
mod limiter;
mod reports;
mod target;
mod targets;

pub use document::Plan;
pub use limiter::Limiter;
pub use reports::Reports;
pub use target::Target;
pub use targets::Targets;
pub use targets::targets;
