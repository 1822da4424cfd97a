//! Adapter for the platform's object store and its list of VMs.

mod client;
mod condition;
mod error;
mod stored;

pub use client::Client;
pub use condition::Condition;
pub use error::Error;
pub use stored::Stored;
