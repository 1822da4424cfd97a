//! The state of a daemon and its decisions about requests.

mod candidates;
mod copies;
mod prefixes;
mod rate_limits;
mod requests;
mod role;
mod shutdown;
mod state;
mod suspects;
mod timeouts;
mod updates;

pub use state::Gateway;
