//! Requests of callers.

mod id;
mod key;

pub use id::Id;
pub use key::Key;
