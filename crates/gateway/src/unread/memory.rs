use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::Bytes;
use kumquattiller_base::size;
use log::warn;
use prometheus_client::metrics::counter::Counter;
use tokio::sync::Notify;

use crate::unread::Body;
use crate::unread::Key;
use crate::unread::Table;
use crate::unread::Writer;
use crate::unread::queue::Queue;

/// A response that is being written to a caller.
#[derive(Debug, Clone)]
pub(super) struct Response {
    pub queue: Rc<RefCell<Queue>>,
    /// Wakes the writer when nobody reads the response any more.
    pub closed: Rc<Notify>,
}

/// What the daemon holds for callers that have not read it yet.
#[derive(Debug)]
pub struct Memory {
    table: RefCell<Table>,
    responses: RefCell<BTreeMap<Key, Response>>,
    cut_off: Counter,
}

impl Memory {
    /// Creates the memory for `budget` unread bytes. `cut_off` counts the responses that are cut
    /// off.
    pub fn new(budget: size::Bytes, cut_off: Counter) -> Self {
        let table = RefCell::new(Table::new(budget));
        Self { table, responses: RefCell::default(), cut_off }
    }

    /// Begins a response to the request with the given id.
    pub fn open(self: &Rc<Self>, id: &str) -> (Writer, Body) {
        let key = self.table.borrow_mut().open();
        let queue = Rc::new(RefCell::new(Queue::new(id)));
        let response = Response { queue, closed: Rc::default() };
        self.responses.borrow_mut().insert(key, response.clone());
        let writer = Writer::new(self.clone(), key, response.clone());
        (writer, Body::new(self.clone(), key, response))
    }

    /// Returns a body with this content, whose length is known.
    pub fn whole(self: &Rc<Self>, id: &str, pieces: Vec<Bytes>) -> Body {
        let (writer, mut body) = self.open(id);
        body.set_length(pieces.iter().map(|piece| piece.len() as u64).sum());
        for piece in pieces {
            writer.push(&piece);
        }
        writer.end(Ok(()));
        body
    }

    /// Returns the unread bytes of all responses.
    pub fn used(&self) -> size::Bytes {
        self.table.borrow().used()
    }

    /// Counts bytes that were added to a response, and cuts off responses while the budget is
    /// exceeded.
    pub(super) fn add(&self, key: Key, bytes: size::Bytes) {
        self.table.borrow_mut().add(key, bytes);
        loop {
            let slowest = self.table.borrow().slowest();
            let Some(slowest) = slowest else {
                return;
            };
            self.cut_off(slowest);
        }
    }

    /// Counts bytes of a response that have been read.
    pub(super) fn take(&self, key: Key, bytes: size::Bytes) {
        self.table.borrow_mut().take(key, bytes);
    }

    /// Removes a response that nobody reads any more.
    pub(super) fn close(&self, key: Key) {
        self.table.borrow_mut().close(key);
        if let Some(response) = self.responses.borrow_mut().remove(&key) {
            response.closed.notify_one();
        }
    }

    fn cut_off(&self, key: Key) {
        let mut table = self.table.borrow_mut();
        let (used, budget, responses) = (table.used(), table.budget(), table.len());
        let unread = table.close(key);
        drop(table);
        let Some(response) = self.responses.borrow_mut().remove(&key) else {
            return;
        };
        let mut queue = response.queue.borrow_mut();
        queue.cut_off();
        warn!(
            target: "request", id = queue.id, unread = unread.get(), used = used.get(),
            budget = budget.get(), responses;
            "slow caller cut off"
        );
        self.cut_off.inc();
        response.closed.notify_one();
    }
}
