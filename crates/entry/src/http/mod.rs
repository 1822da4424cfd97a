//! The callers' side over HTTP.

mod acceptor;
mod answer;
mod body;
mod error;
mod event_id;
mod handlers;
mod headers;
mod health;
mod metrics;
mod models;
mod plain;
mod resume;
mod server;

pub use acceptor::Acceptor;
pub use error::Error;
pub use event_id::EventId;
pub use server::Server;
pub use server::start;
