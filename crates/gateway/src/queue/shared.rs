use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use kumquattiller_base::daemon;
use kumquattiller_base::size::Bytes;
use kumquattiller_base::time::Moment;
use kumquattiller_routing::queue::Limits;
use kumquattiller_routing::queue::Queue;
use kumquattiller_routing::queue::Report;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

/// Bounds of the queue, which leave most of the memory of a small VM to streams.
const LIMITS: Limits = Limits { entries: 1_024, bytes: Bytes::new(16 * 1024 * 1024) };
/// Minimum time between two wake-ups by other requests or peers. Each makes the first waiting
/// requests be placed anew, which a VM with a small share of a core cannot do for every report.
const MIN_WAKE_INTERVAL: Duration = Duration::from_millis(50);

/// Work in flight of a peer, by which a report shows room.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InFlight {
    /// Tokens that its requests hold at all servers.
    pub memory: u64,
    /// Prefill work at all servers, in milliseconds.
    pub backlog_ms: f64,
}

/// The queue of this daemon and the means to wake what waits in it.
#[derive(Debug)]
pub struct Shared {
    queue: RefCell<Queue>,
    changed: Notify,
    woken_at: Cell<Option<Moment>>,
    peers: RefCell<HashMap<daemon::Id, InFlight>>,
}

impl Default for Shared {
    fn default() -> Self {
        Self {
            queue: RefCell::new(Queue::new(LIMITS)),
            changed: Notify::new(),
            woken_at: Cell::new(None),
            peers: RefCell::default(),
        }
    }
}

impl Shared {
    /// Returns the queue.
    pub const fn queue(&self) -> &RefCell<Queue> {
        &self.queue
    }

    /// Returns a future that ends when a waiting request is to ask for its turn again.
    pub fn changed(&self) -> Notified<'_> {
        self.changed.notified()
    }

    /// Makes the waiting requests ask for their turns again.
    pub fn notify(&self) {
        self.changed.notify_waiters();
    }

    /// Lets the waiting requests try again, because servers may have room.
    pub fn wake(&self, now: Moment) {
        let is_soon = self.woken_at.get().is_some_and(|at| now.since(at) < MIN_WAKE_INTERVAL);
        if is_soon || self.queue.borrow().is_empty() {
            return;
        }
        self.woken_at.set(Some(now));
        self.queue.borrow_mut().wake(now);
        self.notify();
    }

    /// Applies what a peer reports of its queue and of its work in flight.
    pub fn merge(&self, peer: &daemon::Id, report: Report, in_flight: InFlight, now: Moment) {
        let previous = self.peers.borrow_mut().insert(peer.clone(), in_flight);
        let shows_room = previous.is_some_and(|previous| {
            in_flight.memory < previous.memory || in_flight.backlog_ms < previous.backlog_ms
        });
        self.queue.borrow_mut().merge(peer.clone(), report, now);
        if shows_room {
            self.wake(now);
        }
        if !self.queue.borrow().is_empty() {
            self.notify();
        }
    }

    /// Forgets what is too old. `max_age` is the age from which a report no longer counts.
    pub fn expire(&self, now: Moment, max_age: Duration, known: impl Fn(&daemon::Id) -> bool) {
        self.queue.borrow_mut().expire(now, max_age);
        self.peers.borrow_mut().retain(|id, _| known(id));
    }
}
