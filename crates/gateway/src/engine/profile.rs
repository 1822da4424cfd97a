use kumquattiller_base::size::Tokens;

/// Millions of pairs of tokens are the unit of [`Profile::pairs_ms_per_m`].
const PAIRS_UNIT: f64 = 1e6;
/// Context is counted in thousands of tokens by [`Profile::context_ms_per_k`].
const CONTEXT_UNIT: f64 = 1e3;

/// The figures of an engine, as its service states them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Profile {
    /// Requests that it writes at once.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory: Tokens,
    /// Time of a step, in milliseconds.
    pub step_ms: f64,
    /// Added to a step for each request that is writing, in milliseconds.
    pub step_ms_per_sequence: f64,
    /// Added to a step for each 1,000 tokens of context, in milliseconds.
    pub context_ms_per_k: f64,
    /// Prompt tokens read in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Added to reading for each million pairs of a token and an earlier one, in milliseconds.
    pub pairs_ms_per_m: f64,
    /// Steps of a pass that writes.
    pub stride: u32,
}

impl Profile {
    /// Returns how long an engine reads a prompt with nothing else to do, in milliseconds.
    pub fn prefill_ms(&self, prompt: Tokens) -> f64 {
        let tokens = prompt.get() as f64;
        let pairs = tokens * tokens / 2.0 / PAIRS_UNIT;
        tokens / self.prefill_tokens_per_ms + pairs * self.pairs_ms_per_m
    }

    /// Returns the length of a pass in which `writers` write with `context` tokens together and
    /// nothing is read, in milliseconds.
    pub fn decode_pass_ms(&self, sequences: f64, context: Tokens) -> f64 {
        let context = context.get() as f64 / CONTEXT_UNIT * self.context_ms_per_k;
        let step = self.step_ms + sequences * self.step_ms_per_sequence + context;
        step * f64::from(self.stride)
    }
}
