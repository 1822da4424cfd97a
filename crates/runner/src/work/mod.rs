//! The work of a job on its backend server.

mod model;
mod plain;

use std::sync::Arc;

use bytes::Bytes;
use kumquattiller_base::service;
use kumquattiller_memory::Item;
use kumquattiller_telemetry::traces;
use kumquattiller_wire::Attempt;

use crate::Process;
use crate::admission::Promise;
use crate::gate::Place;
use crate::job::End;
use crate::job::Job;

pub use model::handle;
pub use model::stream_of;

/// Returns what an attempt holds on a model engine.
pub fn item_of(attempt: Attempt) -> Item {
    Item::Stream(model::stream_of(attempt).into())
}

/// Runs a job to its end and records the end.
///
/// The promise of memory is given back only after the backend server has let go of the stream.
pub async fn run(process: Process, job: Arc<Job>, body: Bytes, promise: Promise, place: Place) {
    let id = job.attempt().request;
    let context = traces::Context::from_traceparent(Some(&job.start().trace_parent));
    let span = context.span("runner.backend", id);
    process.recorder().metrics().request_admitted();
    let (end, freed) = {
        let work = call(&process, &job, body);
        tokio::pin!(work);
        tokio::select! {
            ended = &mut work => ended,
            () = first_token(&job) => {
                place.prefilled();
                work.await
            }
        }
    };
    if let End::Failed { kind, detail, .. } = &end {
        log::warn!(request:% = job.attempt().request, kind:%; "job failed: {detail}");
    }
    drop(span);
    if freed {
        promise.settle();
    } else {
        drop(promise);
    }
    drop(place);
    let engine_died = matches!(end, End::Failed { backend_died: true, .. });
    process.suspects().leave(job.attempt(), engine_died).await;
    record(&process, &job, &end);
    job.finish(end, process.now());
}

/// Calls the backend server; returns the end and whether it let go of what the job held.
async fn call(process: &Process, job: &Job, body: Bytes) -> (End, bool) {
    match process.settings().backend.kind {
        service::Kind::Model => model::run(process, job, &body).await,
        service::Kind::Plain => (plain::run(process, job, body).await, true),
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
