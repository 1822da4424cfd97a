//! Recent decisions about requests, for `kumquattiller explain`.

mod history;
mod limit;

pub use history::History;
pub use limit::Limit;
