use kumquattiller_base::size::Tokens;

/// Token pairs per unit of [`Profile::pairs_ms_per_m`].
const PAIRS_PER_UNIT: f64 = 1e6;
/// Context tokens per unit of [`Profile::context_ms_per_k`].
const CONTEXT_TOKENS_PER_UNIT: f64 = 1e3;

/// Performance figures of an engine, as configured for its service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Profile {
    /// Maximum number of requests that are decoded concurrently.
    pub slots: u32,
    /// Capacity of the engine's memory, in tokens.
    pub memory: Tokens,
    /// Base time of a step, in milliseconds.
    pub step_ms: f64,
    /// Additional time of a step for each sequence being decoded, in milliseconds.
    pub step_ms_per_sequence: f64,
    /// Additional time of a step for each 1,000 tokens of context, in milliseconds.
    pub context_ms_per_k: f64,
    /// Prompt tokens prefilled per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Additional prefill time for each million pairs of a token and an earlier token (attention),
    /// in milliseconds.
    pub pairs_ms_per_m: f64,
    /// Number of steps in a decode pass.
    pub stride: u32,
}

impl Profile {
    /// Returns the prefill time of a prompt on an otherwise idle engine, in milliseconds.
    pub fn prefill_ms(&self, prompt: Tokens) -> f64 {
        let tokens = prompt.get() as f64;
        let pairs = tokens * tokens / 2.0 / PAIRS_PER_UNIT;
        tokens / self.prefill_tokens_per_ms + pairs * self.pairs_ms_per_m
    }

    /// Returns the length of a pass that decodes `sequences` with a total of `context` tokens and
    /// prefills nothing, in milliseconds.
    pub fn decode_pass_ms(&self, sequences: f64, context: Tokens) -> f64 {
        self.step_ms_with(sequences, context) * f64::from(self.stride)
    }

    /// Returns the length of a step that decodes `sequences` with a total of `context` tokens, in
    /// milliseconds.
    pub fn step_ms_with(&self, sequences: f64, context: Tokens) -> f64 {
        let context = context.get() as f64 / CONTEXT_TOKENS_PER_UNIT * self.context_ms_per_k;
        self.step_ms + sequences * self.step_ms_per_sequence + context
    }
}
