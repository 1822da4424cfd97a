//! What the commands do.

mod explain;

pub use explain::ExplainOptions;
pub use explain::explain;
