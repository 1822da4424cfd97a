//! Index of the runners that probably have a prompt prefix cached.
//!
//! A prefix is known by its hash. Where prompts are opaque, the prefixes of 512, 1,024, 2,048 … tokens
//! are hashed, so that a request carries at most a dozen hashes whatever its length ([`sample`]). A
//! caller that knows the parts of a prompt hashes the prefixes at the ends of its parts instead.
//!
//! The [`Index`] stores for each hash the runners that last computed it. It may be stale: an eviction
//! report removes single entries, and a gap in the reports of a runner invalidates every entry
//! recorded for that runner before the gap.

mod holder;
mod index;

use kumquattiller_base::size::Tokens;

pub use holder::Holder;
pub use index::Index;

/// Length of the shortest hashed prefix; each further one is twice as long.
pub const FIRST_TOKENS: Tokens = Tokens::new(512);

/// Returns the length of the prefix whose hash has the given index in the list of hashes.
pub const fn tokens(index: usize) -> Tokens {
    Tokens::new(FIRST_TOKENS.get() << index)
}

/// Selects the hashes of the prefixes of 512, 1,024, 2,048 … tokens.
///
/// `blocks` has one hash for each 512 tokens of a prompt, and each hash also covers all tokens
/// before its block.
pub fn sample(blocks: &[u64]) -> Vec<u64> {
    let counts = std::iter::successors(Some(1_usize), |count| count.checked_mul(2));
    counts.map_while(|count| blocks.get(count - 1)).copied().collect()
}
