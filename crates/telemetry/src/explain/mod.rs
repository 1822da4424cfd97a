//! The reasons of decisions about recent requests.

mod history;
mod limit;

pub use history::History;
pub use limit::Limit;
