use std::cmp::Ordering;
use std::time::Duration;

use kumquattiller_base::account::Rank;
use kumquattiller_base::time::Moment;

use crate::queue::Pool;

/// What the servers lacked when a request was tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Shortage {
    /// Free memory.
    Memory,
    /// The request would cost others too much.
    Cost,
}

/// The place of a waiting request in the order, at this daemon or another one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Place {
    /// The servers that it competes for.
    pub pool: Pool,
    /// Urgency; 0 is served first.
    pub urgency: Rank,
    /// Whether it was promised to be served.
    pub promised: bool,
    /// Whether its client account has had more than its share.
    pub over_share: bool,
    /// Until when it may wait.
    pub due: Moment,
    /// From when on released memory is kept for it.
    pub aged_at: Moment,
    /// What the servers lacked when it was last tried.
    pub shortage: Option<Shortage>,
    /// Time for which it would occupy all servers of the pool together.
    pub work: Duration,
    /// Value of the answer to the caller.
    pub value: f64,
}

impl Place {
    /// Compares two places: by pool, urgency, promise and share, then by the time left, then by value.
    pub fn compare(&self, other: &Self) -> Ordering {
        let key = |p: &Self| (p.pool, p.urgency, !p.promised, p.over_share, p.due);
        key(self).cmp(&key(other)).then(other.value.total_cmp(&self.value))
    }

    /// Returns whether this request comes before another one of the same pool.
    pub fn is_before(&self, other: &Self) -> bool {
        self.pool == other.pool && self.compare(other).is_lt()
    }

    /// Returns whether another request must wait for this one.
    ///
    /// Requests that only cost too much let later ones of their class pass, as those may cost less.
    /// One that lacks memory keeps it from later ones once it is aged, or else small prompts would
    /// take what is released for ever.
    pub fn blocks(&self, other: &Self, now: Moment) -> bool {
        let class = |p: &Self| (p.urgency, !p.promised, p.over_share);
        let keeps_memory = self.shortage == Some(Shortage::Memory) && self.aged_at <= now;
        self.is_before(other) && (class(self) < class(other) || keeps_memory)
    }
}
