use std::collections::BTreeMap;

use futures::FutureExt;
use futures::future::select_all;
use kumquattiller_base::runner;

use crate::runners::Call;
use crate::runners::Reply;

/// Memory that is requested or reserved on several runners; dropping it releases the memory.
#[derive(Debug)]
pub struct Allocation {
    id: u64,
    calls: BTreeMap<runner::Id, Call>,
}

impl Allocation {
    /// Creates an allocation without memory, with a random reservation id.
    pub fn new() -> Self {
        Self { id: rand::random_range(1..=u64::MAX), calls: BTreeMap::new() }
    }

    /// Returns the id of the reservation.
    pub const fn id(&self) -> u64 {
        self.id
    }

    /// Adds the call to a runner that was asked to reserve memory.
    pub fn add_call(&mut self, runner: runner::Id, call: Call) {
        self.calls.insert(runner, call);
    }

    /// Releases the memory on a runner.
    pub fn release(&mut self, runner: &runner::Id) {
        if let Some(call) = self.calls.remove(runner) {
            call.release(self.id);
        }
    }

    /// Returns the call to a runner.
    pub fn call_mut(&mut self, runner: &runner::Id) -> Option<&mut Call> {
        self.calls.get_mut(runner)
    }

    /// Returns the next reply of any runner, or `None` with the runner whose link closed. Waits
    /// forever if there is no call.
    pub async fn next_reply(&mut self) -> (runner::Id, Option<Reply>) {
        if self.calls.is_empty() {
            return std::future::pending().await;
        }
        let replies = self.calls.iter_mut();
        let replies = replies.map(|(id, call)| call.reply().map(|reply| (id.clone(), reply)));
        let ((id, reply), _, _) = select_all(replies.map(Box::pin)).await;
        if reply.is_none() {
            self.calls.remove(&id);
        }
        (id, reply)
    }
}

impl Drop for Allocation {
    fn drop(&mut self) {
        for call in self.calls.values() {
            call.release(self.id);
        }
    }
}
