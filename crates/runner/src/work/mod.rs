//! The work of a job on its backend server.

mod model;
mod plain;

use std::sync::Arc;

use bytes::Bytes;
use kumquattiller_base::service;
use kumquattiller_telemetry::traces;

use crate::Process;
use crate::admission::Promise;
use crate::job::End;
use crate::job::Job;

/// Runs a job to its end and records the end.
///
/// The promise of memory is given back only after the backend server has let go of the stream.
pub async fn run(process: Process, job: Arc<Job>, body: Bytes, promise: Promise) {
    let id = job.attempt().request;
    let context = traces::Context::of(Some(&job.start().trace_parent));
    let span = context.span("backend", id);
    process.recorder().metrics().admitted();
    let end = {
        let work = call(&process, &job, body);
        tokio::pin!(work);
        tokio::select! {
            end = &mut work => end,
            () = first_token(&job) => {
                promise.prefilled();
                work.await
            }
        }
    };
    if let End::Failed { kind, detail, .. } = &end {
        log::warn!(request:% = job.attempt().request, kind:%; "job failed: {detail}");
    }
    drop(span);
    drop(promise);
    record(&process, &job, &end);
    job.finish(end, process.now());
}

/// Calls the backend server.
async fn call(process: &Process, job: &Job, body: Bytes) -> End {
    match process.settings().backend.kind {
        service::Kind::Model => model::run(process, job, &body).await,
        service::Kind::Plain => plain::run(process, job, body).await,
    }
}

/// Waits for the first piece of the answer.
async fn first_token(job: &Job) {
    let mut changes = job.changes();
    while job.next() == 0 {
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Counts the end of a job and notes it for `kumquattiller explain`.
fn record(process: &Process, job: &Job, end: &End) {
    let recorder = process.recorder();
    recorder.metrics().ended();
    let decision = match end {
        End::Final { total, .. } => format!("the backend server ended after {total}"),
        End::Refused { kind, .. } => format!("the backend server refused: {kind}"),
        End::Failed { kind, detail, .. } => format!("the backend server failed: {kind}, {detail}"),
    };
    match end {
        End::Final { .. } => {}
        End::Refused { kind, .. } | End::Failed { kind, .. } => recorder.metrics().refusal(*kind),
    }
    recorder.note(process.now(), job.attempt().request, &decision);
}
