use kumquattiller_dialect::engine::Completion;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The text that an engine generates for a request, token by token.
///
/// It depends on the prompt and the sizes of the context before it, but not on the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Text {
    seed: u64,
}

impl Text {
    /// Returns the text for a completion.
    pub fn of(completion: &Completion) -> Self {
        let context: Vec<u64> = completion.context.iter().map(|h| h.tokens).collect();
        Self::new(&completion.prompt, &context)
    }

    /// Returns the text for a prompt that follows context of the given sizes in tokens.
    pub fn new(prompt: &str, context: &[u64]) -> Self {
        let seed = context.iter().fold(0, |seed, t| xxh3_64_with_seed(&t.to_le_bytes(), seed));
        Self { seed: xxh3_64_with_seed(prompt.as_bytes(), seed) }
    }

    /// Returns the token at `offset`, with a trailing space.
    pub fn token(self, offset: u64) -> String {
        format!("{:08x} ", xxh3_64_with_seed(&offset.to_le_bytes(), self.seed) as u32)
    }

    /// Returns the text of the tokens from `from` (inclusive) to `to` (exclusive).
    pub fn range(self, from: u64, to: u64) -> String {
        (from..to).map(|offset| self.token(offset)).collect()
    }
}
