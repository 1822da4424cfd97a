//! Objects of the store that hold the records of many keys.

mod number;
mod value;
mod verdict;
mod wire;

pub use number::COUNT;
pub use number::Number;
pub use value::MAX_BYTES;
pub use value::RETENTION;
pub use value::Shard;
pub use verdict::Verdict;
pub use wire::InvalidShard;
pub use wire::Wire;

/// Kind of the store's objects that hold shards.
pub const OBJECT_KIND: &str = "claims";
