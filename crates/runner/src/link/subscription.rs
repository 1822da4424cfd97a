use std::sync::Arc;

use kumquattiller_link::Sender;
use tokio_util::sync::CancellationToken;

use crate::Process;
use crate::job::Job;
use crate::link::frames;

/// Copies a job's answer to a link from `offset` on.
///
/// Returns when the job has ended and its end is sent, when the link closes or when `detached` is
/// cancelled.
pub async fn run(
    process: Process,
    sender: Sender,
    job: Arc<Job>,
    offset: u64,
    detached: CancellationToken,
) {
    job.add_subscriber();
    tokio::select! {
        () = copy_answer(&process, &sender, &job, offset) => {}
        () = detached.cancelled() => {}
    }
    job.remove_subscriber(process.now());
}

async fn copy_answer(process: &Process, sender: &Sender, job: &Job, offset: u64) {
    let incarnation = process.identity().incarnation;
    let mut changes = job.changes();
    let mut next_offset = offset;
    loop {
        changes.mark_unchanged();
        let (parts, end) = job.read_from(next_offset);
        for part in parts {
            next_offset = part.offset + part.count;
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
