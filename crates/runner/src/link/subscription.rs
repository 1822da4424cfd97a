use std::sync::Arc;

use kumquattiller_link::Sender;
use tokio_util::sync::CancellationToken;

use crate::Process;
use crate::job::Job;
use crate::link::frames;

/// Copies a job's answer to a link from `offset` on, until its end, the link's or `detached`.
pub async fn run(
    process: Process,
    sender: Sender,
    job: Arc<Job>,
    offset: u64,
    detached: CancellationToken,
) {
    job.subscribe();
    tokio::select! {
        () = copy(&process, &sender, &job, offset) => {}
        () = detached.cancelled() => {}
    }
    job.unsubscribe(process.now());
}

async fn copy(process: &Process, sender: &Sender, job: &Job, offset: u64) {
    let incarnation = process.identity().incarnation;
    let mut changes = job.changes();
    let mut next = offset;
    loop {
        changes.mark_unchanged();
        let (parts, end) = job.read(next);
        for part in parts {
            next = part.offset + part.count;
            if sender.send(frames::chunk(job.attempt(), incarnation, part)).await.is_err() {
                return;
            }
        }
        if let Some(end) = end {
            let frame = frames::end(job.attempt(), incarnation, end, process.load());
            let _ = sender.send(frame).await;
            return;
        }
        tokio::select! {
            changed = changes.changed() => if changed.is_err() { return },
            () = sender.closed() => return,
        }
    }
}
