use std::collections::HashMap;

use bytes::Bytes;
use kumquattiller_base::error;
use kumquattiller_routing::admission::Refusal;
use kumquattiller_wire::Attempt;
use kumquattiller_wire::link;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;
use tokio_util::task::task_tracker::TaskTrackerToken;

use crate::gate::Permit;

/// A start whose body has arrived completely, with its permit.
#[derive(Debug)]
pub struct CompleteStart {
    /// The attempt to start.
    pub attempt: Attempt,
    /// The `Start` frame.
    pub start: link::Start,
    /// The whole request body.
    pub body: Bytes,
    /// The permit to run, granted or pending.
    pub permit: Permit,
    /// Makes a graceful stop wait until the start is answered.
    pub task_guard: TaskTrackerToken,
}

/// The starts of one link whose permits are pending; dropping it withdraws them all.
#[derive(Debug)]
pub struct Pending {
    guards: HashMap<Attempt, DropGuard>,
    sender: mpsc::UnboundedSender<(CompleteStart, Result<(), Refusal>)>,
    receiver: mpsc::UnboundedReceiver<(CompleteStart, Result<(), Refusal>)>,
}

impl Default for Pending {
    fn default() -> Self {
        let (sender, receiver) = mpsc::unbounded_channel();
        Self { guards: HashMap::new(), sender, receiver }
    }
}

impl Pending {
    /// Adds a start and waits for its permit in a task of its own, so that the link is not blocked.
    ///
    /// The start is refused if `draining` is cancelled before the gate decides.
    pub fn add(&mut self, mut complete: CompleteStart, draining: CancellationToken) {
        let cancelled = CancellationToken::new();
        self.guards.insert(complete.attempt, cancelled.clone().drop_guard());
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let decision = tokio::select! {
                decision = complete.permit.wait_until_granted() => decision,
                () = draining.cancelled() => Err(error::Kind::Leaving.into()),
                () = cancelled.cancelled() => return,
            };
            let _ = sender.send((complete, decision));
        });
    }

    /// Withdraws the start of an attempt.
    pub fn remove(&mut self, attempt: Attempt) {
        self.guards.remove(&attempt);
    }

    /// Waits for the next start that the gate has decided about.
    pub async fn next_decided(&mut self) -> (CompleteStart, Result<(), Refusal>) {
        loop {
            if let Some((complete, decision)) = self.receiver.recv().await
                && self.guards.remove(&complete.attempt).is_some()
            {
                return (complete, decision);
            }
        }
    }
}
