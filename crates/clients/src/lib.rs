//! Adapters for model engines, plain services and the platform.
//!
//! Each adapter makes HTTP calls, for engines and the platform with the types of
//! `kumquattiller-dialect`. Failures tell whether the call may have been carried out:
//! [`Fault::Unsent`] means that nothing reached the server, [`Fault::Lost`] that the request may
//! have. Adapters never retry; the caller decides whether that is safe.

mod body;
pub mod configuration;
pub mod engine;
mod fault;
pub mod platform;
pub mod service;
mod transport;

pub use fault::Fault;
pub use transport::Transport;
