//! The HTTP server for callers.
//!
//! Handlers authenticate the client account, parse the request, hand it to [`crate::drive`] once
//! it is admitted, and turn its output into a response.

mod acceptor;
mod body;
mod error;
mod event_id;
mod handlers;
mod headers;
mod health;
mod metrics;
mod models;
mod plain;
mod response;
mod resume;
mod server;

pub use acceptor::Acceptor;
pub use error::Error;
pub use event_id::EventId;
pub use server::Server;
pub use server::start;
