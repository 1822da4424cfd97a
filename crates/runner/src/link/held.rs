use std::collections::HashMap;

use bytes::Bytes;
use kumquattiller_routing::admission::Refusal;
use kumquattiller_wire::Attempt;
use kumquattiller_wire::link;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

use crate::gate::Place;

/// A complete start with its place at the gate.
#[derive(Debug)]
pub struct Complete {
    /// The attempt.
    pub attempt: Attempt,
    /// The start.
    pub start: link::Start,
    /// Its whole body.
    pub body: Bytes,
    /// Its place at the gate.
    pub place: Place,
}

/// The attempts of one link that wait at the gate; all are given up when it is dropped.
#[derive(Debug)]
pub struct Held {
    guards: HashMap<Attempt, DropGuard>,
    sender: mpsc::UnboundedSender<(Complete, Result<(), Refusal>)>,
    receiver: mpsc::UnboundedReceiver<(Complete, Result<(), Refusal>)>,
}

impl Default for Held {
    fn default() -> Self {
        let (sender, receiver) = mpsc::unbounded_channel();
        Self { guards: HashMap::new(), sender, receiver }
    }
}

impl Held {
    /// Waits for the gate's decision about an attempt beside the link.
    pub fn add(&mut self, mut complete: Complete) {
        let cancelled = CancellationToken::new();
        self.guards.insert(complete.attempt, cancelled.clone().drop_guard());
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let decision = tokio::select! {
                decision = complete.place.wait() => decision,
                () = cancelled.cancelled() => return,
            };
            let _ = sender.send((complete, decision));
        });
    }

    /// Gives an attempt up.
    pub fn remove(&mut self, attempt: Attempt) {
        self.guards.remove(&attempt);
    }

    /// Returns the next attempt that the gate has decided about.
    pub async fn next(&mut self) -> (Complete, Result<(), Refusal>) {
        loop {
            if let Some((complete, decision)) = self.receiver.recv().await
                && self.guards.remove(&complete.attempt).is_some()
            {
                return (complete, decision);
            }
        }
    }
}
