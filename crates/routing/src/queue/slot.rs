use std::time::Duration;

use kumquattiller_base::size::Tokens;

use crate::queue::Pool;

/// Sum of what a daemon has promised in one pool for one span of time, as told in reports.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Slot {
    /// The pool.
    pub pool: Pool,
    /// Time until the promises are due.
    pub due_in: Duration,
    /// Sum of the work.
    pub work: Duration,
    /// Sum of the memory.
    pub footprint: Tokens,
}
