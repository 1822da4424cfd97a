//! Requests that ran when an engine died: what this daemon knows and how it spreads.
//!
//! Runner processes report deaths on every link. The cases are also kept in an object of the store,
//! so that a new daemon, or one without a link to the runner, learns them.

mod cases;
mod store;

pub use cases::Suspects;
pub use store::run;
