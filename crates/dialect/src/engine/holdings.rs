use serde::Deserialize;
use serde::Serialize;

/// Streams and handles that occupy KV memory on an engine, without the reusable prefix cache.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holdings {
    /// Streams that are running, waiting, or finished and kept so that they can be resumed.
    pub streams: Vec<Stream>,
    /// KV handles.
    pub handles: Vec<Handle>,
}

/// A stream on an engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stream {
    /// Id from [`Completion::request`](crate::engine::Completion::request).
    pub request: String,
    /// KV memory that the stream occupies, in tokens.
    pub tokens: u64,
    /// Number of tokens generated so far.
    pub generated: u64,
    /// Whether the last event was produced.
    pub finished: bool,
}

/// Reference to KV memory that an engine keeps.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handle {
    /// Base URL of the engine.
    #[serde(default)]
    pub engine: String,
    /// Id of the handle on that engine.
    pub handle: String,
    /// Size in tokens.
    pub tokens: u64,
}
