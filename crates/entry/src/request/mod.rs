//! Admitted requests.

mod admitted;
mod blocks;

pub use admitted::Admitted;
pub use blocks::hash_blocks;
