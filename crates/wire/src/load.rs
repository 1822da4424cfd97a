use kumquattiller_base::size::Tokens;

use crate::link;

/// Load that a runner process reports for its backend server.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests running on the backend server.
    pub running: u32,
    /// Requests admitted and not yet running.
    pub waiting: u32,
    /// KV memory in use or reserved.
    pub held: Tokens,
    /// Total KV memory.
    pub capacity: Tokens,
    /// Prompt tokens not yet computed.
    pub backlog: Tokens,
    /// Part of `backlog` from prompts over 8,000 tokens.
    pub long_backlog: Tokens,
    /// Whether the runner has stopped accepting new requests.
    pub leaving: bool,
    /// Number of the report, which increases with each report of an incarnation.
    pub sequence: u64,
    /// Prefix blocks cached since the last report.
    pub cached: Vec<u64>,
    /// Prefix blocks evicted since the last report.
    pub evicted: Vec<u64>,
    /// Whether cache events were lost since the last report.
    pub gap: bool,
}

impl From<link::Load> for Load {
    fn from(wire: link::Load) -> Self {
        Self {
            running: wire.running,
            waiting: wire.waiting,
            held: Tokens::new(wire.tokens_held),
            capacity: Tokens::new(wire.tokens_capacity),
            backlog: Tokens::new(wire.prefill_backlog),
            long_backlog: Tokens::new(wire.long_backlog),
            leaving: wire.leaving,
            sequence: wire.sequence,
            cached: wire.cached,
            evicted: wire.evicted,
            gap: wire.cache_gap,
        }
    }
}

impl From<Load> for link::Load {
    fn from(load: Load) -> Self {
        Self {
            running: load.running,
            waiting: load.waiting,
            tokens_held: load.held.get(),
            tokens_capacity: load.capacity.get(),
            prefill_backlog: load.backlog.get(),
            long_backlog: load.long_backlog.get(),
            leaving: load.leaving,
            sequence: load.sequence,
            cached: load.cached,
            evicted: load.evicted,
            cache_gap: load.gap,
        }
    }
}
