use std::time::Duration;

use kumquattiller_base::account::Rank;
use kumquattiller_base::size::Bytes;
use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;

use crate::queue::Consumer;
use crate::queue::Identity;
use crate::queue::Pool;

/// Identifies a waiting request at this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub(super) u64);

/// A request that waits to be placed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Entry {
    /// The servers that it competes for.
    pub pool: Pool,
    /// The client account that it counts for.
    pub consumer: Consumer,
    /// By what it is recognised at any daemon when it returns, if it can be.
    pub identity: Option<Identity>,
    /// Urgency; 0 is served first.
    pub urgency: Rank,
    /// Memory that it needs.
    pub footprint: Tokens,
    /// Time for which it would occupy all servers of the pool together.
    pub work: Duration,
    /// Value of the answer to the caller.
    pub value: f64,
    /// Size of the body, which is held while the request waits.
    pub body: Bytes,
    /// Until when it may wait so that its answer is in time.
    pub in_time_until: Moment,
    /// Until when it may start so that it is answered before its deadline.
    pub latest_start: Moment,
    /// When the caller gives up.
    pub deadline: Moment,
}
