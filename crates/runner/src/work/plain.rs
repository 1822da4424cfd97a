//! Runs jobs on a plain service.

use std::time::Duration;

use bytes::Bytes;
use kumquattiller_base::error;
use kumquattiller_clients::Fault;
use kumquattiller_clients::service::Answer;
use kumquattiller_clients::service::Call;

use crate::Process;
use crate::job::End;
use crate::job::Job;
use crate::job::Part;

/// Largest part that an answer is split into, in bytes.
const MAX_PART_BYTES: usize = 64 << 10;

/// Calls the service and copies its answer to the job.
pub async fn run(process: &Process, job: &Job, body: Bytes) -> End {
    match process.service().call(service_call(job, body)).await {
        Ok(answer) => copy_answer(job, &answer),
        Err(Fault::Unsent(_)) => End::refused(error::Kind::NoRunner),
        Err(fault) => End::Failed {
            kind: error::Kind::RunnerLost,
            backend_died: !process.service().is_alive().await,
            detail: fault.to_string(),
        },
    }
}

/// Builds the call to the service.
fn service_call(job: &Job, body: Bytes) -> Call {
    let start = job.start();
    Call {
        method: start.method.clone(),
        path: start.path.clone(),
        content_type: "application/json".to_owned(),
        key: (!start.key.is_empty()).then(|| start.key.clone()),
        body,
        timeout: Duration::from_millis(start.left_ms),
    }
}

/// Copies an answer to the job in parts of at most [`MAX_PART_BYTES`].
fn copy_answer(job: &Job, answer: &Answer) -> End {
    for start in (0..answer.body.len()).step_by(MAX_PART_BYTES) {
        let end = answer.body.len().min(start + MAX_PART_BYTES);
        let data = answer.body.slice(start..end);
        job.append(Part { offset: start as u64, count: data.len() as u64, data });
    }
    End::Final {
        total: answer.body.len() as u64,
        status: answer.status,
        content_type: answer.content_type.clone(),
        finish_reason: String::new(),
    }
}
