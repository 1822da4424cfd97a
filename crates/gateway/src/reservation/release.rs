//! For how long a reservation is released again.
//!
//! A call without a response may be carried out seconds later, after newer calls. A reservation or
//! renewal that comes late makes the reservation anew, although it has been released. Its daemon
//! therefore owns the memory until every call without a response must have been carried out, and
//! releases it again at an interval until then.

use std::time::Duration;

use kumquattiller_base::time::Moment;

/// Time within which a server carries out a call to which it has not responded.
pub const LATE_CALL_TIME: Duration = Duration::from_secs(15);
/// Interval between releases while a call may still be carried out late.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Delay after a release without a response.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The releases of one reservation.
#[derive(Debug, Clone, Copy)]
pub struct Release {
    /// When the reservation lapses, as far as the responses of its server tell.
    lapses_at: Moment,
    /// When the last call to make or renew it was sent that got no response.
    unanswered_at: Option<Moment>,
    /// When it was last released, and whether the server responded to that.
    last_call: Option<(Moment, bool)>,
}

impl Release {
    /// Begins to release a reservation that lapses at `lapses_at`; `unanswered_at` is the time of the
    /// last call to make or renew it without a response.
    pub const fn new(lapses_at: Moment, unanswered_at: Option<Moment>) -> Self {
        Self { lapses_at, unanswered_at, last_call: None }
    }

    /// Returns when it is released next, or `None` if the server can hold nothing for it any more.
    pub fn next_call(&self, now: Moment) -> Option<Moment> {
        let late_until = self.unanswered_at.map(|at| at + LATE_CALL_TIME);
        let (at, until) = match self.last_call {
            None => return Some(now),
            Some((at, true)) => (at + REPEAT_INTERVAL, late_until?),
            Some((at, false)) => {
                (at + RETRY_DELAY, self.lapses_at.max(late_until.unwrap_or_default()))
            }
        };
        (at.max(now) < until).then_some(at.max(now))
    }

    /// Records a release that ended at `now`, and whether the server responded.
    pub const fn record_call(&mut self, now: Moment, is_answered: bool) {
        self.last_call = Some((now, is_answered));
    }
}
