//! Requests that were read, authenticated and given a deadline.

mod admitted;
mod blocks;

pub use admitted::Admitted;
pub use blocks::hash_blocks;
