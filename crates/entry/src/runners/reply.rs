use std::time::Duration;

use bytes::Bytes;
use kumquattiller_base::error;
use kumquattiller_wire::Attempt;
use kumquattiller_wire::Body;
use kumquattiller_wire::Error;
use kumquattiller_wire::Load;
use kumquattiller_wire::link;

/// A reply of a runner process to an attempt.
#[derive(Debug, Clone)]
pub enum Reply {
    /// The runner accepted the attempt.
    Accepted,
    /// The runner refused the attempt without starting it.
    Refused {
        /// The kind of error.
        kind: error::Kind,
        /// Time after which a retry may succeed.
        retry_after: Option<Duration>,
    },
    /// A chunk of the answer.
    Chunk {
        /// Incarnation of the runner process.
        incarnation: u64,
        /// Offset of the first token, or byte for a plain service, of the chunk.
        offset: u64,
        /// Number of tokens, or bytes, in the chunk.
        count: u64,
        /// Data of the chunk.
        data: Bytes,
    },
    /// The end of a complete answer.
    Final {
        /// Total number of tokens, or bytes.
        total: u64,
        /// HTTP status of a plain service's response.
        status: u16,
        /// Content type of a plain service's response.
        content_type: String,
        /// Why a model stopped generating.
        finish_reason: String,
    },
    /// The result of a reservation.
    Reserved {
        /// Whether all of the requested memory was reserved.
        granted: bool,
    },
    /// The KV cache handle of a prefilled segment, or why the prefill failed.
    Prefilled(Result<link::Handle, error::Kind>),
    /// The attempt started and failed.
    Failed {
        /// The kind of error.
        kind: error::Kind,
        /// Whether the backend server died during the attempt.
        backend_died: bool,
    },
}

impl Reply {
    /// Converts a frame that replies to an attempt; returns the attempt, the reply and the load
    /// report in the frame, or `None` for other frames.
    ///
    /// # Errors
    ///
    /// Fails when a field is missing or not valid.
    pub fn read(body: Body) -> Result<Option<(Attempt, Self, Option<Load>)>, Error> {
        let (attempt, reply, load) = match body {
            Body::Accepted(frame) => (frame.attempt, Self::Accepted, frame.load),
            Body::Refused(frame) => {
                let retry_after = Duration::from_millis(frame.retry_after_ms);
                let retry_after = (!retry_after.is_zero()).then_some(retry_after);
                let kind = parse_kind(&frame.kind)?;
                (frame.attempt, Self::Refused { kind, retry_after }, frame.load)
            }
            Body::Chunk(frame) => {
                let reply = Self::Chunk {
                    incarnation: frame.incarnation,
                    offset: frame.offset,
                    count: frame.count,
                    data: frame.data,
                };
                (frame.attempt, reply, None)
            }
            Body::Final(frame) => {
                let status = u16::try_from(frame.status).map_err(|_| Error::Invalid("status"))?;
                let reply = Self::Final {
                    total: frame.total,
                    status,
                    content_type: frame.content_type,
                    finish_reason: frame.finish_reason,
                };
                (frame.attempt, reply, frame.load)
            }
            Body::Failed(frame) => {
                let kind = parse_kind(&frame.kind)?;
                let reply = Self::Failed { kind, backend_died: frame.backend_died };
                (frame.attempt, reply, None)
            }
            Body::Reserved(frame) => {
                (frame.attempt, Self::Reserved { granted: frame.granted }, frame.load)
            }
            Body::Prefilled(frame) => {
                let result = match frame.handle {
                    Some(handle) => Ok(handle),
                    None => Err(parse_kind(&frame.kind)?),
                };
                (frame.attempt, Self::Prefilled(result), None)
            }
            _ => return Ok(None),
        };
        Ok(Some((Attempt::from_field(attempt)?, reply, load.map(Load::from))))
    }
}

fn parse_kind(text: &str) -> Result<error::Kind, Error> {
    text.parse().map_err(|_| Error::Invalid("kind"))
}
