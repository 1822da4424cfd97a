use std::time::Duration;

use crate::freshness::Role;
use crate::observe::Purpose;

/// Interval at which the first daemon of the fleet confirms each copy.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(900);
/// Wait of a watch whose answer is needed at once. The platform takes whole milliseconds.
const NO_WAIT: Duration = Duration::from_millis(1);
/// Wait of a watch while peers confirm the copy.
const LONG_WAIT: Duration = Duration::from_secs(20);
/// Age from which a copy is overdue at the second daemon of the fleet: the confirmation interval,
/// the longest interval between reports and the time of a request.
const OVERDUE_AGE: Duration = Duration::from_millis(1_200);
/// Added to [`OVERDUE_AGE`] for each daemon before this one, so that the daemons ask in turn until a
/// report confirms the copies of the rest.
const TURN: Duration = Duration::from_millis(50);
/// Largest sum of turns, which bounds the age of every copy.
const MAX_TURNS: Duration = Duration::from_millis(250);

/// How the store is asked for the changes of a kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Question {
    /// The store is asked.
    Ask {
        /// Time for which the store may wait for a change before it answers.
        wait: Duration,
        /// Whether the question is given up when the copy is overdue.
        until_overdue: bool,
    },
    /// The store is not asked, since peers pass changes on, until the copy is overdue.
    Listen,
}

impl Question {
    /// Question that the store answers at once.
    pub const AT_ONCE: Self = Self::Ask { wait: NO_WAIT, until_overdue: false };

    /// Question of the first daemon of the fleet, whose copy has this age.
    pub(super) fn of_first(age: Duration) -> Self {
        let wait = CONFIRM_INTERVAL.saturating_sub(age).max(NO_WAIT);
        Self::Ask { wait, until_overdue: false }
    }

    /// Question of a daemon whose copy peers confirm.
    pub(super) const fn of_other(role: Role) -> Self {
        match role {
            Role::Watcher => Self::Ask { wait: LONG_WAIT, until_overdue: true },
            Role::Listener => Self::Listen,
        }
    }
}

/// Returns what a question with this wait is for.
pub fn purpose(wait: Duration) -> Purpose {
    if wait <= CONFIRM_INTERVAL { Purpose::Confirm } else { Purpose::Watch }
}

/// Returns the age from which a copy is overdue at a daemon with `rank` daemons before it.
pub(super) fn overdue_age(rank: usize) -> Duration {
    OVERDUE_AGE + (TURN * rank as u32).min(MAX_TURNS)
}
