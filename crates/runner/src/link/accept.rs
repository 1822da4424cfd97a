//! Acceptance of an attempt, at once or after it was held for room.

use std::sync::Arc;

use bytes::Bytes;
use kumquattiller_link::Sender;
use kumquattiller_wire::Attempt;
use kumquattiller_wire::Body;
use kumquattiller_wire::Error;
use kumquattiller_wire::link;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

use crate::Process;
use crate::admission::Promise;
use crate::job::Job;
use crate::link::frames;
use crate::link::subscription;
use crate::work;

/// Keeps an attempt held; dropping it gives the attempt up.
#[derive(Debug)]
pub(super) struct Held {
    over: CancellationToken,
    _guard: DropGuard,
}

impl Held {
    /// Keeps the attempt whose waiting ends with `cancelled`.
    pub(super) fn new(cancelled: CancellationToken) -> Self {
        Self { over: cancelled.clone(), _guard: cancelled.drop_guard() }
    }

    /// Tells whether the attempt waits no longer.
    pub(super) fn is_over(&self) -> bool {
        self.over.is_cancelled()
    }
}

/// Accepts or refuses a held attempt once the gate has decided.
#[derive(Debug)]
pub(super) struct Later {
    process: Process,
    sender: Sender,
    cancelled: CancellationToken,
}

impl Later {
    /// Prepares to answer on a link.
    pub(super) const fn new(
        process: Process,
        sender: Sender,
        cancelled: CancellationToken,
    ) -> Self {
        Self { process, sender, cancelled }
    }

    /// Waits for the gate, unless the attempt is cancelled or its link closes.
    pub(super) async fn run(
        self,
        attempt: Attempt,
        start: link::Start,
        body: Bytes,
        mut promise: Promise,
    ) {
        let decision = tokio::select! {
            decision = promise.wait() => decision,
            () = self.cancelled.cancelled() => return,
        };
        let sent = match decision {
            Ok(_) => run(&self.process, &self.sender, attempt, start, body, promise).await,
            Err(refusal) => {
                let recorder = self.process.recorder();
                recorder.metrics().refusal(refusal.kind);
                let note = format!("the runner refused the held attempt: {}", refusal.kind);
                recorder.note(self.process.now(), attempt.request, &note);
                let load = self.process.load();
                let retry_after = Some(refusal.retry_after);
                send(&self.sender, frames::refused(attempt, refusal.kind, retry_after, load)).await
            }
        };
        if let Err(error) = sent {
            log::debug!(request:% = attempt.request; "held attempt was not answered: {error}");
        }
        self.cancelled.cancel();
    }
}

/// Creates the job, tells the entry daemon and starts the work.
///
/// # Errors
///
/// Fails when the link is closed; the work does not begin then.
pub(super) async fn run(
    process: &Process,
    sender: &Sender,
    attempt: Attempt,
    mut start: link::Start,
    body: Bytes,
    mut promise: Promise,
) -> Result<(), Error> {
    if let Ok(priority) = promise.wait().await {
        start.priority = priority;
    }
    let (job, added) = process.jobs().add(Job::new(attempt, start));
    let accepted = link::Accepted {
        attempt: Some(attempt.into()),
        incarnation: process.identity().incarnation,
        load: Some(process.load().into()),
    };
    send(sender, Body::Accepted(accepted)).await?;
    let subscription = subscription::run(process.clone(), sender.clone(), Arc::clone(&job), 0);
    tokio::spawn(subscription);
    if added {
        process.spawn(work::run(process.clone(), job, body, promise));
    }
    Ok(())
}

async fn send(sender: &Sender, body: Body) -> Result<(), Error> {
    sender.send(body).await.map_err(|_| Error::Io(std::io::ErrorKind::BrokenPipe.into()))
}
