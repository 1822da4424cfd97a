use serde::Deserialize;
use serde::Serialize;

use crate::engine::Handle;

/// Body of `POST /v1/completions`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// Identifies the stream on this engine; a stream that exists is not started again.
    pub request: String,
    /// The model.
    pub model: String,
    /// The prompt's text.
    #[serde(default)]
    pub prompt: String,
    /// Tokens of the prompt, without those of `context`.
    pub prompt_tokens: u64,
    /// Most tokens to generate.
    pub max_tokens: u64,
    /// Lower runs first.
    #[serde(default)]
    pub priority: u32,
    /// Hashes of the prompt's prefix blocks, in order.
    #[serde(default)]
    pub block_hashes: Vec<u64>,
    /// KV on this or other engines that stands before the prompt, in order.
    #[serde(default)]
    pub context: Vec<Handle>,
}

/// Body of `POST /v1/prefill`: computes KV and keeps it under a handle.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prefill {
    /// Identifies the computation on this engine.
    pub request: String,
    /// The model.
    pub model: String,
    /// The text of the segment.
    #[serde(default)]
    pub prompt: String,
    /// Tokens of the segment.
    pub prompt_tokens: u64,
    /// Lower runs first.
    #[serde(default)]
    pub priority: u32,
    /// KV that stands before the segment, in order.
    #[serde(default)]
    pub context: Vec<Handle>,
}
