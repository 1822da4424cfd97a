//! What each engine is ordered to have loaded.

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
