use std::rc::Rc;
use std::time::Duration;

use kumquattiller_routing::queue::Entry;
use kumquattiller_routing::queue::Key;
use kumquattiller_routing::queue::Reason;
use kumquattiller_routing::queue::Refusal;
use kumquattiller_routing::queue::Shortage;
use kumquattiller_routing::queue::Turn;
use log::info;

use crate::Gateway;
use crate::placement::Declined;

/// The place of one request in the queue. Dropping it, as when the caller leaves, removes the
/// request.
#[derive(Debug)]
pub struct Ticket {
    gateway: Rc<Gateway>,
    id: String,
    entry: Entry,
    key: Key,
    is_open: bool,
    has_waited: bool,
    /// Whether the request was promised to be served when it arrived.
    is_returned: bool,
}

impl Ticket {
    /// Adds a request to the queue; `id` is for the log.
    pub fn new(gateway: &Rc<Gateway>, id: &str, entry: Entry) -> Self {
        let mut queue = gateway.queue().queue().borrow_mut();
        let key = queue.arrive(entry, gateway.now());
        let is_returned = queue.is_promised(key);
        drop(queue);
        let gateway = gateway.clone();
        Self {
            gateway,
            id: id.to_owned(),
            entry,
            key,
            is_open: true,
            has_waited: false,
            is_returned,
        }
    }

    /// Returns what the request does now.
    pub fn turn(&self) -> Turn {
        self.gateway.queue().queue().borrow_mut().turn(self.key, self.gateway.now())
    }

    /// Records that the servers had no room. `room_in` is the expected time until they have some.
    pub fn declined(&mut self, declined: Declined, room_in: Duration) {
        let shortage = match declined {
            Declined::TooCostly { .. } => Shortage::Cost,
            Declined::NoMemory | Declined::NoServer | Declined::Evacuated => Shortage::Memory,
        };
        let now = self.gateway.now();
        self.gateway.queue().queue().borrow_mut().declined(self.key, shortage, room_in, now);
        if !std::mem::replace(&mut self.has_waited, true) {
            self.log("request waits", declined, self.wait(), None);
            self.gateway.request_report();
        }
    }

    /// Removes the request after it has been sent.
    pub fn admitted(mut self) {
        let wait = self.wait();
        let reason =
            self.gateway.queue().queue().borrow_mut().admitted(self.key, self.gateway.now());
        self.is_open = false;
        if self.has_waited {
            self.log("request left the queue", reason, wait, None);
        }
        self.finish(reason, wait);
    }

    /// Removes the request, and holds capacity for its return if it can be served then. `room_in` is
    /// when the servers are expected to have room.
    pub fn refuse(mut self, reason: Reason, room_in: Duration) -> Option<Refusal> {
        let (wait, now) = (self.wait(), self.gateway.now());
        let refusal = match reason {
            Reason::Stopping => None,
            _ => self.gateway.queue().queue().borrow_mut().refuse(self.key, room_in, now),
        };
        self.log("request refused by the queue", reason, wait, refusal);
        self.close();
        self.finish(reason, wait);
        refusal
    }

    fn wait(&self) -> Duration {
        self.gateway.queue().queue().borrow().wait(self.key, self.gateway.now())
    }

    fn close(&mut self) {
        self.is_open = false;
        self.gateway.queue().queue().borrow_mut().leave(self.key);
    }

    /// Counts the outcome and lets others have their turn.
    fn finish(&self, reason: Reason, wait: Duration) {
        self.gateway.metrics().queue.left(reason, self.entry.urgency, wait);
        if self.has_waited {
            self.gateway.request_report();
        }
        self.gateway.queue().notify();
    }

    fn log(
        &self,
        message: &str,
        reason: impl std::fmt::Display,
        wait: Duration,
        refusal: Option<Refusal>,
    ) {
        let (queue, now) = (self.gateway.queue().queue().borrow(), self.gateway.now());
        let wait_ms = wait.as_millis() as u64;
        let left_ms = self.entry.deadline.since(now).as_millis() as u64;
        let retry_ms = refusal.map_or(0, |r| r.retry_after.as_millis() as u64);
        info!(
            target: "queue", id = self.id, reason:%, urgency:% = self.entry.urgency,
            tokens:% = self.entry.footprint, wait_ms, left_ms, waiting = queue.len(),
            returned = self.is_returned, promised = refusal.is_some_and(|r| r.promised),
            retry_ms, peers = self.gateway.peers_alive(),
            report_age_ms = queue.report_age(now).as_millis() as u64;
            "{message}"
        );
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if self.is_open {
            let wait = self.wait();
            self.close();
            self.finish(Reason::Left, wait);
        }
    }
}
