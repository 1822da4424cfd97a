use std::cmp::Ordering;
use std::rc::Rc;

use kumquattiller_base::time::Moment;
use kumquattiller_routing::load::Load;

/// An event of a run.
#[derive(Debug, Clone)]
pub(super) enum Event {
    /// A request reaches its entry daemon.
    Arrive { job: usize },
    /// An attempt reaches a runner process.
    Offer { job: usize, runner: usize, attempt: u32 },
    /// The refusal or loss of an attempt reaches the entry daemon.
    Returned { job: usize, runner: usize, attempt: u32 },
    /// The end of a request reaches the entry daemon.
    Ended { job: usize, runner: usize },
    /// A step of an engine ends.
    Step { runner: usize, incarnation: u32 },
    /// A runner process reports its load and advances its gate.
    Heartbeat { runner: usize },
    /// A report reaches an entry daemon.
    Report { daemon: usize, runner: usize, load: Load, evicted: Rc<[u64]>, gap: bool },
    /// A request's deadline passes.
    Expire { job: usize },
    /// An engine crashes.
    Crash { runner: usize },
    /// A crashed engine restarts.
    Restart { runner: usize },
    /// The reservation of a long prompt continues.
    Reserve { job: usize },
}

/// An event with its time and its position among events of the same time.
#[derive(Debug)]
pub(super) struct Timed {
    pub at: Moment,
    pub sequence: u64,
    pub event: Event,
}

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Timed {}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Timed {
    /// Orders the earliest event greatest, because the heap pops the greatest element.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}
