//! Properties of a request that routing decisions depend on.

use std::time::Duration;

use kumquattiller_base::account;
use kumquattiller_base::runner;
use kumquattiller_base::size::Tokens;

use crate::band::Band;

/// A request to be routed to a runner.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Size of the prompt.
    pub prompt: Tokens,
    /// Maximum size of the response.
    pub max_response: Tokens,
    /// Hashes of the prompt's prefixes, shortest first; see [`crate::prefix`].
    pub prefix_hashes: &'a [u64],
    /// Priority rank of the client account; 0 is served first.
    pub rank: account::Rank,
    /// Time until the deadline.
    pub remaining: Duration,
    /// Runners that refused the request or failed while running it.
    pub tried: &'a [runner::Id],
}

impl Request<'_> {
    /// Returns the band of the prompt.
    pub fn band(&self) -> Band {
        Band::of(self.prompt)
    }

    /// Returns the maximum KV memory that the request uses.
    pub const fn footprint(&self) -> Tokens {
        self.prompt.saturating_add(self.max_response)
    }
}
