//! Work on a model engine.

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

/// Pause between tries to cancel a stream on the engine.
const CANCEL_PAUSE: Duration = Duration::from_millis(200);
/// Tries to cancel a stream before reconciliation is left to do it.
const CANCEL_TRIES: u32 = 5;

/// Returns the engine's name for the stream of an attempt.
pub fn stream_of(attempt: Attempt) -> String {
    format!("{}-{}", attempt.request, attempt.number)
}

/// Runs a completion; returns its end and whether the engine is known not to hold its stream.
pub async fn run(process: &Process, job: &Job, body: &Bytes) -> (End, bool) {
    let left = Duration::from_millis(job.start().left_ms);
    let work = timeout(left, generate(process, job, body));
    let end = tokio::select! {
        end = work => end.unwrap_or_else(|_| End::failed(
            error::Kind::DeadlineExceeded,
            "the deadline passed while the engine ran",
        )),
        () = job.cancel().cancelled() => End::failed(error::Kind::Cancelled, "cancelled"),
    };
    let freed =
        matches!(end, End::Refused { .. }) || free(process, &stream_of(job.attempt())).await;
    (end, freed)
}

/// Starts the stream and copies its events to the job.
async fn generate(process: &Process, job: &Job, body: &Bytes) -> End {
    let Ok(prompt) = std::str::from_utf8(body) else {
        return End::refused(error::Kind::MalformedBody);
    };
    let mut events = match process.engine().complete(&completion(job, prompt)).await {
        Ok(events) => events,
        Err(Error::Refused(refusal)) => return End::refused(kind_of(&refusal)),
        Err(Error::Fault(Fault::Unsent(_))) => return End::refused(error::Kind::NoRunner),
        Err(Error::Fault(fault)) => match again(process, job, &fault).await {
            Ok(events) => events,
            Err(end) => return end,
        },
    };
    loop {
        match copy(job, &mut events).await {
            Ok(end) => return end,
            Err(fault) => match again(process, job, &fault).await {
                Ok(resumed) => events = resumed,
                Err(end) => return end,
            },
        }
    }
}

/// Copies events to the job until the stream's end.
async fn copy(job: &Job, events: &mut Events) -> Result<End, Fault> {
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
    let total = job.next();
    Ok(End::Final { total, status: 0, content_type: String::new(), finish_reason })
}

/// Resumes a stream whose connection broke, while its engine still has it.
async fn again(process: &Process, job: &Job, fault: &Fault) -> Result<Events, End> {
    let stream = stream_of(job.attempt());
    process.engine().resume(&stream, job.next()).await.map_err(|error| End::Failed {
        kind: error::Kind::RunnerLost,
        backend_died: matches!(error, Error::Fault(_)),
        detail: format!("{fault}; not resumed: {error}"),
    })
}

/// Frees a stream on the engine; returns whether the engine confirmed it.
async fn free(process: &Process, stream: &str) -> bool {
    for _ in 0..CANCEL_TRIES {
        match process.engine().cancel(stream).await {
            Ok(()) => return true,
            Err(Error::Fault(Fault::Unsent(_))) => return false,
            Err(error) => log::warn!(stream; "stream was not freed: {error}"),
        }
        sleep(CANCEL_PAUSE).await;
    }
    false
}

/// Builds the engine's request.
fn completion(job: &Job, prompt: &str) -> engine::Completion {
    let start = job.start();
    engine::Completion {
        request: stream_of(job.attempt()),
        model: start.model.clone(),
        prompt: prompt.to_owned(),
        prompt_tokens: start.prompt_tokens,
        max_tokens: start.max_tokens,
        priority: start.priority,
        block_hashes: start.block_hashes.clone(),
        context: start.context.iter().map(handle).collect(),
    }
}

/// Returns the engine's form of a handle.
pub fn handle(wire: &link::Handle) -> engine::Handle {
    engine::Handle { engine: wire.engine.clone(), handle: wire.handle.clone(), tokens: wire.tokens }
}

/// Returns the error kind of an engine's refusal.
fn kind_of(refusal: &engine::Error) -> error::Kind {
    match refusal.kind.as_str() {
        "memory_full" => error::Kind::MemoryFull,
        "unknown_model" => error::Kind::UnknownModel,
        "malformed" => error::Kind::MalformedBody,
        _ => error::Kind::BackendFailed,
    }
}
