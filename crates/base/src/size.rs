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

/// Bytes of prompt text that count as one token when a caller sends text.
const BYTES_PER_TOKEN: u64 = 4;

impl Tokens {
    /// Estimates the tokens of a text of `bytes`, rounding up.
    pub const fn of_text(bytes: Bytes) -> Self {
        Self::new(bytes.get().div_ceil(BYTES_PER_TOKEN))
    }
}
