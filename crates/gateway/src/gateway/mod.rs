//! The state of a daemon and its decisions about requests.

mod candidates;
mod cold;
mod copies;
mod evacuations;
mod paces;
mod prefixes;
mod queue;
mod rate_limits;
mod regions;
mod requests;
mod response_times;
mod role;
mod shutdown;
mod state;
mod suspects;
mod timeouts;
mod updates;

pub use state::Gateway;
