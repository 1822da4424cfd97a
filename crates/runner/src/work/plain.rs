//! Runs jobs on a plain service.

use std::time::Duration;

use bytes::Bytes;
use kumquattiller_base::error;
use kumquattiller_clients::Fault;
use kumquattiller_clients::service::Call;
use kumquattiller_clients::service::Response;

use crate::Process;
use crate::job::End;
use crate::job::Job;
use crate::job::Part;

/// Largest part that a response is split into, in bytes.
const MAX_PART_BYTES: usize = 64 << 10;

/// Calls the service and copies its response to the job.
pub async fn run(process: &Process, job: &Job, body: Bytes) -> End {
    match process.service().call(service_call(job, body)).await {
        Ok(response) => copy_response(job, &response),
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

/// Copies a response to the job in parts of at most [`MAX_PART_BYTES`].
fn copy_response(job: &Job, response: &Response) -> End {
    for start in (0..response.body.len()).step_by(MAX_PART_BYTES) {
        let end = response.body.len().min(start + MAX_PART_BYTES);
        let data = response.body.slice(start..end);
        job.append(Part { offset: start as u64, count: data.len() as u64, data });
    }
    End::Final {
        total: response.body.len() as u64,
        status: response.status,
        content_type: response.content_type.clone(),
        finish_reason: String::new(),
    }
}
