use std::rc::Rc;

use crate::relay::Broken;
use crate::unread::Key;
use crate::unread::Memory;
use crate::unread::memory::Response;

/// Adds what a server sends to a response. A response whose writer is dropped before its end is
/// broken.
#[derive(Debug)]
pub struct Writer {
    memory: Rc<Memory>,
    key: Key,
    response: Response,
}

impl Writer {
    pub(super) const fn new(memory: Rc<Memory>, key: Key, response: Response) -> Self {
        Self { memory, key, response }
    }

    /// Adds bytes. Cuts off responses, perhaps this one, if that exceeds the budget.
    pub fn push(&self, bytes: &[u8]) {
        if !self.is_cut_off() {
            let added = self.response.queue.borrow_mut().push(bytes);
            self.memory.add(self.key, added);
        }
    }

    /// Ends the response.
    pub fn end(self, end: Result<(), Broken>) {
        self.response.queue.borrow_mut().end(end);
    }

    /// Returns whether the response was cut off.
    pub fn is_cut_off(&self) -> bool {
        self.response.queue.borrow().is_cut_off
    }

    /// Waits until the response is cut off or its caller has left.
    pub async fn closed(&self) {
        self.response.closed.notified().await;
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.response.queue.borrow_mut().end(Err(Broken));
    }
}
