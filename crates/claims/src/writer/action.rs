use crate::Answer;
use crate::CallId;
use crate::Shard;
use crate::shard::Number;

/// Action for the entry daemon to take.
#[derive(Debug)]
pub enum Action {
    /// Read a shard.
    Read(Number),
    /// Write a shard if it still has the version that was read.
    Write {
        /// The shard.
        number: Number,
        /// The expected version, or `None` if the object must not exist.
        version: Option<u64>,
        /// The new value.
        shard: Shard,
    },
    /// Answer a call that asked for a claim.
    Reply(CallId, Answer),
}
