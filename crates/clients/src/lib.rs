//! Adapters for model engines, plain services and the platform.
//!
//! Each adapter turns calls into the dialect of `kumquattiller-dialect` over HTTP and sorts
//! failures by what they prove: [`Fault::Unsent`] means that nothing reached the other side,
//! [`Fault::Lost`] that it may have. No adapter retries.

pub mod configuration;
pub mod engine;
mod fault;
pub mod platform;
pub mod service;
mod transport;

pub use fault::Fault;
pub use transport::Transport;
