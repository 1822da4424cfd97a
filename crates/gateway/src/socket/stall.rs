use std::time::Duration;

use kumquattiller_base::time::Moment;

use crate::socket::DEAD_AFTER;
use crate::socket::Report;

/// Time after an acknowledgement for which a peer whose window is closed counts as alive. The system
/// probes the window at least every [`EXTENSION`].
const ALIVE_AFTER_ACKNOWLEDGEMENT: Duration = Duration::from_millis(3_000);
/// Time that the system is granted beyond the present length of a stall.
const EXTENSION: Duration = Duration::from_millis(2_500);
/// Longest time from the last acknowledgement of a peer with a closed window until its connection is
/// ended: the last extension comes three seconds after it, and the system waits for 2.5 s more.
pub const DEAD_WHILE_STALLED: Duration = Duration::from_millis(6_000);

/// A connection on which data has been sent: whether its peer takes it, does not read, or is dead.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stall {
    /// When it was first seen that the peer takes nothing more.
    since: Option<Moment>,
    /// Whether the system was told to wait for longer than usual.
    is_extended: bool,
}

impl Stall {
    /// Returns for how long the system is to wait from the beginning of the stall on, if that
    /// changes.
    pub fn update(&mut self, report: Report, now: Moment) -> Option<Duration> {
        if !report.is_stalled {
            self.since = None;
            return std::mem::take(&mut self.is_extended).then_some(DEAD_AFTER);
        }
        let stalled_for = now.since(*self.since.get_or_insert(now));
        let answered = report.since_acknowledgement < stalled_for;
        if !answered || report.since_acknowledgement > ALIVE_AFTER_ACKNOWLEDGEMENT {
            return None;
        }
        self.is_extended = true;
        Some(stalled_for + EXTENSION)
    }

    /// Returns whether the peer is alive and does not read.
    pub const fn is_extended(&self) -> bool {
        self.is_extended
    }
}
