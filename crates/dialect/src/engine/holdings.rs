use serde::Deserialize;
use serde::Serialize;

/// What holds KV memory on an engine, not counting reusable prefix cache.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holdings {
    /// Streams that run, wait, or ended and are kept for resumption.
    pub streams: Vec<Stream>,
    /// Handles.
    pub handles: Vec<Handle>,
}

/// A stream on an engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stream {
    /// The request that the stream was started with.
    pub request: String,
    /// KV memory that it holds, in tokens.
    pub tokens: u64,
    /// Tokens generated so far.
    pub generated: u64,
    /// The last event was produced.
    pub finished: bool,
}

/// KV that an engine keeps.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handle {
    /// Base URL of the engine that keeps it.
    #[serde(default)]
    pub engine: String,
    /// Identifies it on that engine.
    pub handle: String,
    /// Its size in tokens.
    pub tokens: u64,
}
