use crate::Answer;
use crate::Call;
use crate::Shard;
use crate::shard::Number;

/// What the writer wants done.
#[derive(Debug)]
pub enum Action {
    /// Read a shard.
    Read(Number),
    /// Write a shard if it still has the version.
    Write {
        /// The shard.
        number: Number,
        /// The version to find, or `None` for no object.
        version: Option<u64>,
        /// The new value.
        shard: Shard,
    },
    /// Answer a call.
    Reply(Call, Answer),
}
