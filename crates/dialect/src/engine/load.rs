use serde::Deserialize;
use serde::Serialize;

/// Load of an engine, measured `age_ms` ago.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of streams in the batch.
    pub running: u32,
    /// Number of streams that wait for memory or for a slot in the batch.
    pub waiting: u32,
    /// KV memory used by streams and handles, in tokens.
    pub kv_held: u64,
    /// Total KV memory, in tokens.
    pub kv_capacity: u64,
    /// Number of prompt tokens not yet computed.
    pub prefill_backlog: u64,
    /// Age of this report, in milliseconds.
    pub age_ms: u64,
}

/// Body of `GET /v1/cache_events`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Events, sorted by sequence number; the numbers may have gaps.
    pub events: Vec<CacheEvent>,
}

/// A change of the prefix cache by one block.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number, which increases by one with each event; a gap means that events were lost.
    pub sequence: u64,
    /// Hash of the block.
    pub block: u64,
    /// `true` when the block was added to the cache, `false` when it was evicted.
    pub cached: bool,
}
