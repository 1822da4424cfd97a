//! What each engine is ordered to have loaded.

/// Kind of the plan's object.
pub const KIND: &str = "plan";
/// Name of the plan's object.
pub const NAME: &str = "engines";

mod document;
mod pace;
mod reports;
mod target;
mod targets;

pub use document::Plan;
pub use pace::Pace;
pub use reports::Reports;
pub use target::Target;
pub use targets::Targets;
pub use targets::targets;
