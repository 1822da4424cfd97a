use serde::Deserialize;
use serde::Serialize;

use crate::engine::Handle;

/// Body of `POST /v1/completions`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// Id of the stream on this engine; a stream that already exists is not started again.
    pub request: String,
    /// Name of the model.
    pub model: String,
    /// Text of the prompt.
    #[serde(default)]
    pub prompt: String,
    /// Number of tokens in the prompt, without those of `context`.
    pub prompt_tokens: u64,
    /// Maximum number of tokens to generate.
    pub max_tokens: u64,
    /// Priority; a lower value runs first.
    #[serde(default)]
    pub priority: u32,
    /// Hashes of the prompt's prefix blocks, in order.
    #[serde(default)]
    pub block_hashes: Vec<u64>,
    /// KV on this or other engines that precedes the prompt, in order.
    #[serde(default)]
    pub context: Vec<Handle>,
}

/// Body of `POST /v1/prefill`: computes KV and keeps it under a handle.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prefill {
    /// Id of the computation on this engine.
    pub request: String,
    /// Name of the model.
    pub model: String,
    /// Text of the prompt segment.
    #[serde(default)]
    pub prompt: String,
    /// Number of tokens in the segment.
    pub prompt_tokens: u64,
    /// Priority; a lower value runs first.
    #[serde(default)]
    pub priority: u32,
    /// KV that precedes the segment, in order.
    #[serde(default)]
    pub context: Vec<Handle>,
}
