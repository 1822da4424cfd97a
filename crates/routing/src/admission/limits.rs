use std::time::Duration;

use kumquattiller_base::size::Tokens;

use crate::pace::Pace;

/// Limits that a gate enforces, and engine speeds that it assumes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// KV memory of the engine.
    pub capacity: Tokens,
    /// Part of `capacity` that only prompts up to 8,000 tokens may use.
    pub short_reserve: Tokens,
    /// Maximum backlog of prompts over 8,000 tokens, in prompt tokens, when several of them are in
    /// prefill. A single one may exceed it.
    pub long_prefill: Tokens,
    /// Assumed speed of the engine.
    pub pace: Pace,
    /// Time for each output token while the engine also computes prompts.
    pub busy_step: Duration,
    /// Maximum number of queued requests.
    pub max_waiting: usize,
}

/// Divisor of the KV memory that gives the part kept free for short prompts.
const SHORT_RESERVE_DIVISOR: u64 = 12;

/// Default of [`Limits::long_prefill`].
const LONG_PREFILL: Tokens = Tokens::new(32_000);

/// Default of [`Limits::max_waiting`].
const MAX_WAITING: usize = 64;

impl Limits {
    /// Returns the default limits of an engine with KV memory for `capacity` tokens.
    pub const fn new(capacity: Tokens, pace: Pace, busy_step: Duration) -> Self {
        Self {
            capacity,
            short_reserve: Tokens::new(capacity.get() / SHORT_RESERVE_DIVISOR),
            long_prefill: LONG_PREFILL,
            pace,
            busy_step,
            max_waiting: MAX_WAITING,
        }
    }
}
