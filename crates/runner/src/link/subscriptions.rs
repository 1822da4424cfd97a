use std::collections::HashMap;
use std::sync::Arc;

use kumquattiller_link::Sender;
use kumquattiller_wire::Attempt;
use tokio_util::sync::CancellationToken;

use crate::Process;
use crate::job::Job;
use crate::link::subscription;

/// The subscriptions of one link, each of which copies a job's response; dropping it ends them all.
#[derive(Debug)]
pub struct Subscriptions {
    process: Process,
    sender: Sender,
    /// Parent of the tokens of all subscriptions.
    link: CancellationToken,
    active: HashMap<Attempt, CancellationToken>,
}

impl Subscriptions {
    /// Creates an empty set for the link of `sender`.
    pub fn new(process: Process, sender: Sender) -> Self {
        Self { process, sender, link: CancellationToken::new(), active: HashMap::new() }
    }

    /// Starts to copy a job's response from `offset` on; replaces a subscription to the same
    /// attempt.
    pub fn add(&mut self, job: Arc<Job>, offset: u64) {
        self.active.retain(|_, token| !token.is_cancelled());
        let token = self.link.child_token();
        if let Some(present) = self.active.insert(job.attempt(), token.clone()) {
            present.cancel();
        }
        let process = self.process.clone();
        let sender = self.sender.clone();
        let copying = subscription::run(process, sender, job, offset, token.clone());
        self.process.spawn(async move {
            copying.await;
            token.cancel();
        });
    }

    /// Ends the subscription to an attempt.
    pub fn remove(&mut self, attempt: Attempt) {
        if let Some(token) = self.active.remove(&attempt) {
            token.cancel();
        }
    }
}

impl Drop for Subscriptions {
    fn drop(&mut self) {
        self.link.cancel();
    }
}
