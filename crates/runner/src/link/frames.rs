//! Builds the frames that a runner process sends.

use std::time::Duration;

use kumquattiller_base::error;
use kumquattiller_wire::Attempt;
use kumquattiller_wire::Body;
use kumquattiller_wire::Load;
use kumquattiller_wire::link;

use crate::job::End;
use crate::job::Part;

/// Builds the frame that refuses an attempt; without `retry_after` it has the kind's default delay.
pub fn refused(
    attempt: Attempt,
    kind: error::Kind,
    retry_after: Option<Duration>,
    load: Load,
) -> Body {
    let retry_after = retry_after.or(kind.answer().retry_after).unwrap_or_default();
    Body::Refused(link::Refused {
        attempt: Some(attempt.into()),
        kind: kind.to_string(),
        retry_after_ms: retry_after.as_millis() as u64,
        load: Some(load.into()),
    })
}

/// Builds the frame of one part of an answer.
pub fn chunk(attempt: Attempt, incarnation: u64, part: Part) -> Body {
    Body::Chunk(link::Chunk {
        attempt: Some(attempt.into()),
        incarnation,
        offset: part.offset,
        count: part.count,
        data: part.data,
    })
}

/// Builds the frame that tells how a job ended.
pub fn end(attempt: Attempt, incarnation: u64, end: End, load: Load) -> Body {
    match end {
        End::Refused { kind, retry_after } => refused(attempt, kind, retry_after, load),
        End::Final { total, status, content_type, finish_reason } => Body::Final(link::Final {
            attempt: Some(attempt.into()),
            incarnation,
            total,
            status: u32::from(status),
            content_type,
            finish_reason,
            load: Some(load.into()),
        }),
        End::Failed { kind, backend_died, detail } => Body::Failed(link::Failed {
            attempt: Some(attempt.into()),
            incarnation,
            kind: kind.to_string(),
            started: true,
            backend_died,
            detail,
        }),
    }
}
