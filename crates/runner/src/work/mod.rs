//! Runs jobs on the backend server.

mod model;
mod plain;

use std::sync::Arc;

use bytes::Bytes;
use kumquattiller_base::service;
use kumquattiller_memory::Item;
use kumquattiller_telemetry::traces;
use kumquattiller_wire::Attempt;

use crate::Process;
use crate::gate::Permit;
use crate::job::End;
use crate::job::Job;
use crate::memory::Allocation;

pub use model::engine_handle;
pub use model::stream_name;

/// Returns the memory item of an attempt's stream on a model engine.
pub fn memory_item(attempt: Attempt) -> Item {
    Item::Stream(model::stream_name(attempt).into())
}

/// Runs a job to its end and records the end.
///
/// The allocated memory counts as used until the backend server has freed the stream.
pub async fn run(
    process: Process,
    job: Arc<Job>,
    body: Bytes,
    allocation: Allocation,
    permit: Permit,
) {
    let id = job.attempt().request;
    let context = traces::Context::from_traceparent(Some(&job.start().trace_parent));
    let span = context.span("runner.backend", id);
    process.recorder().metrics().request_admitted();
    let (end, freed) = {
        let work = call_backend(&process, &job, body);
        tokio::pin!(work);
        tokio::select! {
            ended = &mut work => ended,
            () = wait_for_first_part(&job) => {
                permit.mark_prefilled();
                work.await
            }
        }
    };
    if let End::Failed { kind, detail, .. } = &end {
        log::warn!(request:% = job.attempt().request, kind:%; "job failed: {detail}");
    }
    drop(span);
    if freed {
        allocation.mark_freed();
    } else {
        drop(allocation);
    }
    drop(permit);
    let engine_died = matches!(end, End::Failed { backend_died: true, .. });
    process.suspects().end_attempt(job.attempt(), engine_died).await;
    record_end(&process, &job, &end);
    job.finish(end, process.now());
}

/// Calls the backend server; returns how the job ended and whether its memory is known to be free.
async fn call_backend(process: &Process, job: &Job, body: Bytes) -> (End, bool) {
    match process.settings().backend.kind {
        service::Kind::Model => model::run(process, job, &body).await,
        service::Kind::Plain => (plain::run(process, job, body).await, true),
    }
}

/// Waits for the first part of the answer.
async fn wait_for_first_part(job: &Job) {
    let mut changes = job.changes();
    while job.next_offset() == 0 {
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Counts the end of a job in the metrics and notes it for `kumquattiller explain`.
fn record_end(process: &Process, job: &Job, end: &End) {
    let recorder = process.recorder();
    recorder.metrics().request_ended();
    let decision = match end {
        End::Final { total, .. } => format!("the backend server ended after {total}"),
        End::Refused { kind, .. } => format!("the backend server refused: {kind}"),
        End::Failed { kind, detail, .. } => format!("the backend server failed: {kind}, {detail}"),
    };
    match end {
        End::Final { .. } => {}
        End::Refused { kind, .. } | End::Failed { kind, .. } => {
            recorder.metrics().count_error(*kind)
        }
    }
    recorder.record_decision(process.now(), job.attempt().request, &decision);
}
