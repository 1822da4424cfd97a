//! The work of a job on its backend server.

mod model;
mod plain;

use std::sync::Arc;

use bytes::Bytes;
use kumquattiller_base::service;

use crate::Process;
use crate::admission::Promise;
use crate::job::End;
use crate::job::Job;

/// Runs a job to its end and records the end.
///
/// The promise of memory is given back only after the backend server has let go of the stream.
pub async fn run(process: Process, job: Arc<Job>, body: Bytes, promise: Promise) {
    let end = match process.settings().backend.kind {
        service::Kind::Model => model::run(&process, &job, &body).await,
        service::Kind::Plain => plain::run(&process, &job, body).await,
    };
    if let End::Failed { kind, detail, .. } = &end {
        log::warn!(request:% = job.attempt().request, kind:%; "job failed: {detail}");
    }
    drop(promise);
    job.finish(end, process.now());
}
