//! Requests that ran when an engine died: what this daemon knows and how it spreads.
//!
//! Runner processes report deaths on every link. The records are also kept in an object of the store,
//! so that a new daemon, or one without a link to the runner, learns them.

mod records;
mod store;

pub use records::Suspects;
pub use store::run;
