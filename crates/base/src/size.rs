//! Sizes in tokens and bytes.

use crate::newtype::number;

number!(
    /// A count of tokens.
    Tokens(u64),
    " tokens"
);

number!(
    /// A count of bytes.
    Bytes(u64),
    " B"
);

/// Estimated bytes of prompt text per token, used when a caller sends text instead of tokens.
const BYTES_PER_TOKEN: u64 = 4;

impl Tokens {
    /// Estimates the number of tokens in a text of `bytes`, rounded up.
    pub const fn estimate_for_text(bytes: Bytes) -> Self {
        Self::new(bytes.get().div_ceil(BYTES_PER_TOKEN))
    }
}
