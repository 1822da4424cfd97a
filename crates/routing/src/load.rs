//! Load of a runner as its process reports it.

use kumquattiller_base::size::Tokens;

/// The last report of a runner process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that the engine runs.
    pub running: u32,
    /// Requests held back by the runner process.
    pub waiting: u32,
    /// KV memory in use or promised, waiting requests included.
    pub held: Tokens,
    /// KV memory in all.
    pub capacity: Tokens,
    /// Prompt tokens not yet computed.
    pub backlog: Tokens,
    /// The part of `backlog` that belongs to prompts over 8,000 tokens.
    pub long_backlog: Tokens,
    /// The runner takes no new work.
    pub leaving: bool,
}

impl Load {
    /// Returns the KV memory that is neither in use nor promised.
    pub const fn free(&self) -> Tokens {
        self.capacity.saturating_sub(self.held)
    }
}
