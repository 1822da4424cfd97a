//! The state of a daemon and what it decides about a request.

mod known;
mod requests;
mod state;
mod stopping;
mod waits;

pub use state::Gateway;
