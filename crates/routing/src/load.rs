//! Load of a runner as reported by its process.

use kumquattiller_base::size::Tokens;

/// Load of one runner, as its process reports it to entry daemons.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of requests that the engine runs.
    pub running: u32,
    /// Number of requests that wait in the runner process.
    pub waiting: u32,
    /// KV memory reserved for running and waiting requests.
    pub held: Tokens,
    /// Total KV memory.
    pub capacity: Tokens,
    /// Prompt tokens not yet computed.
    pub backlog: Tokens,
    /// The part of `backlog` that belongs to prompts over 8,000 tokens.
    pub long_backlog: Tokens,
    /// Whether the runner is draining and refuses new requests.
    pub draining: bool,
}

impl Load {
    /// Returns the KV memory that is not reserved for any request.
    pub const fn free(&self) -> Tokens {
        self.capacity.saturating_sub(self.held)
    }
}
