use std::time::Duration;

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
pub struct Question {
    /// Time for which the store may wait for a change before it answers.
    pub wait: Duration,
    /// Whether the question is given up when the copy is overdue.
    pub until_overdue: bool,
}

impl Question {
    /// Question that the store answers at once.
    pub const AT_ONCE: Self = Self { wait: NO_WAIT, until_overdue: false };

    /// Returns what the question is for, for the metrics.
    pub fn purpose(&self) -> Purpose {
        if self.wait <= CONFIRM_INTERVAL { Purpose::Confirm } else { Purpose::Watch }
    }

    /// Question of the first daemon of the fleet, whose copy has this age.
    pub(super) fn of_first(age: Duration) -> Self {
        let wait = CONFIRM_INTERVAL.saturating_sub(age).max(NO_WAIT);
        Self { wait, until_overdue: false }
    }

    /// Question of a daemon whose copy peers confirm.
    pub(super) const fn of_other() -> Self {
        Self { wait: LONG_WAIT, until_overdue: true }
    }
}

/// Returns the age from which a copy is overdue at a daemon with `rank` daemons before it.
pub(super) fn overdue_age(rank: usize) -> Duration {
    OVERDUE_AGE + (TURN * rank as u32).min(MAX_TURNS)
}
