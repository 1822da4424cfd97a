//! The state of a daemon and what it decides about a request.

mod requests;
mod state;
mod waits;

pub use state::Gateway;
