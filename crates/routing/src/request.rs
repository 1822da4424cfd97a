//! What a routing decision knows of a request.

use std::time::Duration;

use kumquattiller_base::account;
use kumquattiller_base::runner;
use kumquattiller_base::size::Tokens;

use crate::band::Band;

/// A request on its way to a runner.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Most tokens of the answer.
    pub answer: Tokens,
    /// Hashes of the prompt's prefix, shortest first; see [`crate::prefix`].
    pub blocks: &'a [u64],
    /// Rank of the client account; 0 is served first.
    pub rank: account::Rank,
    /// Time that is left for work.
    pub left: Duration,
    /// Runners that refused or lost the request before.
    pub tried: &'a [runner::Id],
}

impl Request<'_> {
    /// Returns the size band.
    pub fn band(&self) -> Band {
        Band::of(self.prompt)
    }

    /// Returns the most KV memory that the request takes.
    pub const fn footprint(&self) -> Tokens {
        self.prompt.saturating_add(self.answer)
    }
}
