use kumquattiller_base::size::Tokens;
use xxhash_rust::xxh3::xxh3_64;

use crate::dialect::PromptPart;

/// The beginning of a prompt, up to the end of one of its parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Prefix {
    /// Hash of the parts, equal at all daemons.
    pub hash: u64,
    /// Length of all parts.
    pub tokens: Tokens,
    /// Length of the last part.
    pub added: Tokens,
}

impl Prefix {
    /// Returns the prefixes of a prompt with these parts, shortest first.
    pub fn of_parts(parts: &[PromptPart]) -> Vec<Self> {
        let mut hash = 0;
        let mut tokens = Tokens::ZERO;
        let mut extend = |part: &PromptPart| {
            let bytes =
                [&u64::to_le_bytes(hash)[..], &part.fingerprint.get().to_le_bytes()].concat();
            hash = xxh3_64(&bytes);
            tokens = tokens.saturating_add(part.tokens);
            Self { hash, tokens, added: part.tokens }
        };
        parts.iter().map(&mut extend).collect()
    }
}
