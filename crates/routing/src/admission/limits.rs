use std::time::Duration;

use kumquattiller_base::size::Tokens;

use crate::pace::Pace;

/// Bounds that a gate keeps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// KV memory of the engine.
    pub capacity: Tokens,
    /// Memory that only prompts up to 8,000 tokens may take.
    pub short_reserve: Tokens,
    /// Prompt tokens over which no second prompt over 8,000 tokens starts its prefill.
    pub long_prefill: Tokens,
    /// Speed of the engine.
    pub pace: Pace,
    /// Time between tokens while prompts are computed beside.
    pub busy_step: Duration,
    /// Requests held at most.
    pub max_waiting: usize,
}

/// Share of the memory that is kept for short prompts, as a divisor.
const SHORT_RESERVE_SHARE: u64 = 12;

/// Default bound on long prefill.
const LONG_PREFILL: Tokens = Tokens::new(32_000);

/// Default number of requests held at most.
const MAX_WAITING: usize = 64;

impl Limits {
    /// Returns the default bounds for an engine of `capacity`.
    pub const fn new(capacity: Tokens, pace: Pace, busy_step: Duration) -> Self {
        Self {
            capacity,
            short_reserve: Tokens::new(capacity.get() / SHORT_RESERVE_SHARE),
            long_prefill: LONG_PREFILL,
            pace,
            busy_step,
            max_waiting: MAX_WAITING,
        }
    }
}
