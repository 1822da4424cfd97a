//! Shards: objects in the store that each hold the records of many keys.
//!
//! Many keys share an object so that claims that arrive together need only one write.

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

/// Kind of the objects in the store that hold shards.
pub const OBJECT_KIND: &str = "claims";
