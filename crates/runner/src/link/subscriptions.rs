use std::collections::HashMap;
use std::sync::Arc;

use kumquattiller_link::Sender;
use kumquattiller_wire::Attempt;
use tokio_util::sync::CancellationToken;

use crate::Process;
use crate::job::Job;
use crate::link::subscription;

/// The answers that are copied to one link; all end when it is dropped.
#[derive(Debug)]
pub struct Subscriptions {
    process: Process,
    sender: Sender,
    link: CancellationToken,
    open: HashMap<Attempt, CancellationToken>,
}

impl Subscriptions {
    /// Begins without any.
    pub fn new(process: Process, sender: Sender) -> Self {
        Self { process, sender, link: CancellationToken::new(), open: HashMap::new() }
    }

    /// Copies a job's answer from `offset` on, in place of a present copy to this link.
    pub fn add(&mut self, job: Arc<Job>, offset: u64) {
        self.open.retain(|_, token| !token.is_cancelled());
        let token = self.link.child_token();
        if let Some(present) = self.open.insert(job.attempt(), token.clone()) {
            present.cancel();
        }
        let process = self.process.clone();
        let sender = self.sender.clone();
        tokio::spawn(async move {
            subscription::run(process, sender, job, offset, token.clone()).await;
            token.cancel();
        });
    }

    /// Ends the copy of an attempt's answer.
    pub fn end(&mut self, attempt: Attempt) {
        if let Some(token) = self.open.remove(&attempt) {
            token.cancel();
        }
    }
}

impl Drop for Subscriptions {
    fn drop(&mut self) {
        self.link.cancel();
    }
}
