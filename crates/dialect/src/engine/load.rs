use serde::Deserialize;
use serde::Serialize;

/// Load of an engine, as of `age_ms` ago.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Streams in the batch.
    pub running: u32,
    /// Streams that wait for memory or a place in the batch.
    pub waiting: u32,
    /// KV memory held by streams and handles, in tokens.
    pub kv_held: u64,
    /// KV memory in all, in tokens.
    pub kv_capacity: u64,
    /// Prompt tokens not yet computed.
    pub prefill_backlog: u64,
    /// How old this report is.
    pub age_ms: u64,
}

/// Body of `GET /v1/cache_events`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Events in the order of their sequence numbers, which may have gaps.
    pub events: Vec<CacheEvent>,
}

/// A prefix block that came into the cache or left it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Rises by one with each event that happened; a jump means lost events.
    pub sequence: u64,
    /// Hash of the block.
    pub block: u64,
    /// False when the block was evicted.
    pub cached: bool,
}
