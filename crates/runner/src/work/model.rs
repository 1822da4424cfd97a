//! Runs jobs on a model engine.

use std::time::Duration;

use bytes::Bytes;
use kumquattiller_base::error;
use kumquattiller_clients::Fault;
use kumquattiller_clients::engine::Error;
use kumquattiller_clients::engine::Events;
use kumquattiller_dialect::engine;
use kumquattiller_wire::Attempt;
use kumquattiller_wire::link;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::Process;
use crate::job::End;
use crate::job::Job;
use crate::job::Part;

/// Delay between attempts to cancel a stream on the engine.
const CANCEL_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Attempts to cancel a stream; after them, reconciliation frees it.
const MAX_CANCEL_ATTEMPTS: u32 = 5;

/// Returns the name of an attempt's stream on the engine.
pub fn stream_name(attempt: Attempt) -> String {
    format!("{}-{}", attempt.request, attempt.number)
}

/// Runs a completion; returns how it ended and whether the engine is known not to hold its stream.
pub async fn run(process: &Process, job: &Job, body: &Bytes) -> (End, bool) {
    let left = Duration::from_millis(job.start().left_ms);
    let work = timeout(left, run_stream(process, job, body));
    let end = tokio::select! {
        end = work => end.unwrap_or_else(|_| End::failed(
            error::Kind::DeadlineExceeded,
            "the deadline passed while the engine ran",
        )),
        () = job.cancellation().cancelled() => End::failed(error::Kind::Cancelled, "cancelled"),
    };
    let freed = matches!(end, End::Refused { .. })
        || free_stream(process, &stream_name(job.attempt())).await;
    (end, freed)
}

/// Starts the stream and copies its events to the job, resuming it when the connection breaks.
async fn run_stream(process: &Process, job: &Job, body: &Bytes) -> End {
    let Ok(prompt) = std::str::from_utf8(body) else {
        return End::refused(error::Kind::MalformedBody);
    };
    let mut events = match process.engine().complete(&completion_request(job, prompt)).await {
        Ok(events) => events,
        Err(Error::Refused(refusal)) => return End::refused(error_kind(&refusal)),
        Err(Error::Fault(Fault::Unsent(_))) => return End::refused(error::Kind::NoRunner),
        Err(Error::Fault(fault)) => match resume_stream(process, job, &fault).await {
            Ok(events) => events,
            Err(end) => return end,
        },
    };
    loop {
        match copy_events(job, &mut events).await {
            Ok(end) => return end,
            Err(fault) => match resume_stream(process, job, &fault).await {
                Ok(resumed) => events = resumed,
                Err(end) => return end,
            },
        }
    }
}

/// Copies events to the job until the stream ends.
async fn copy_events(job: &Job, events: &mut Events) -> Result<End, Fault> {
    let mut finish_reason = String::new();
    while let Some(event) = events.next().await? {
        if let Some(reason) = event.finish_reason {
            finish_reason = reason;
        }
        let part = Part { offset: event.offset, count: event.tokens, data: event.text.into() };
        if part.count > 0 && !job.append(part) {
            return Ok(End::failed(error::Kind::BackendFailed, "the engine skipped tokens"));
        }
    }
    let total = job.next_offset();
    Ok(End::Final { total, status: 0, content_type: String::new(), finish_reason })
}

/// Resumes a stream after its connection broke; fails the job if the engine no longer has it.
async fn resume_stream(process: &Process, job: &Job, fault: &Fault) -> Result<Events, End> {
    let stream = stream_name(job.attempt());
    process.engine().resume(&stream, job.next_offset()).await.map_err(|error| End::Failed {
        kind: error::Kind::RunnerLost,
        backend_died: matches!(error, Error::Fault(_)),
        detail: format!("{fault}; not resumed: {error}"),
    })
}

/// Cancels a stream on the engine; returns whether the engine confirmed that it is freed.
async fn free_stream(process: &Process, stream: &str) -> bool {
    for _ in 0..MAX_CANCEL_ATTEMPTS {
        match process.engine().cancel(stream).await {
            Ok(()) => return true,
            Err(Error::Fault(Fault::Unsent(_))) => return false,
            Err(error) => log::warn!(stream; "cannot free a stream on the engine: {error}"),
        }
        sleep(CANCEL_RETRY_DELAY).await;
    }
    false
}

/// Builds the completion request for the engine.
fn completion_request(job: &Job, prompt: &str) -> engine::Completion {
    let start = job.start();
    engine::Completion {
        request: stream_name(job.attempt()),
        model: start.model.clone(),
        prompt: prompt.to_owned(),
        prompt_tokens: start.prompt_tokens,
        max_tokens: start.max_tokens,
        priority: start.priority,
        block_hashes: start.block_hashes.clone(),
        context: start.context.iter().map(engine_handle).collect(),
    }
}

/// Converts a handle from its form on links to its form in engine requests.
pub fn engine_handle(wire: &link::Handle) -> engine::Handle {
    engine::Handle { engine: wire.engine.clone(), handle: wire.handle.clone(), tokens: wire.tokens }
}

/// Returns the error kind for an engine's refusal.
fn error_kind(refusal: &engine::Error) -> error::Kind {
    match refusal.kind.as_str() {
        "memory_full" => error::Kind::MemoryFull,
        "unknown_model" => error::Kind::UnknownModel,
        "malformed" => error::Kind::MalformedBody,
        _ => error::Kind::BackendFailed,
    }
}
