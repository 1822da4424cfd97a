//! Adapter for model engines.

mod client;
mod error;
mod events;
mod limit;

pub use client::Client;
pub use error::Error;
pub use events::Events;
