use std::time::Duration;

use bytes::Bytes;
use kumquattiller_base::error;
use kumquattiller_wire::Attempt;
use kumquattiller_wire::Body;
use kumquattiller_wire::Error;
use kumquattiller_wire::Load;
use kumquattiller_wire::link;

/// What a runner process answers to an attempt.
#[derive(Debug, Clone)]
pub enum Reply {
    /// It took the attempt.
    Accepted,
    /// It started nothing.
    Refused {
        /// Why.
        kind: error::Kind,
        /// When trying again makes sense.
        retry_after: Option<Duration>,
    },
    /// A piece of the answer.
    Chunk {
        /// The start of the runner's process.
        incarnation: u64,
        /// Offset of its first token, or byte.
        offset: u64,
        /// Its tokens, or bytes.
        count: u64,
        /// The data.
        data: Bytes,
    },
    /// The end of a whole answer.
    Final {
        /// Tokens, or bytes, in all.
        total: u64,
        /// HTTP status of a plain service.
        status: u16,
        /// Content type of a plain service.
        content_type: String,
        /// Why a model stopped.
        finish_reason: String,
    },
    /// Whether it set memory aside.
    Reserved {
        /// All of it is set aside.
        granted: bool,
    },
    /// A segment of a prompt was computed, or why not.
    Prefilled(Result<link::Handle, error::Kind>),
    /// It started and failed.
    Failed {
        /// Why.
        kind: error::Kind,
        /// The backend server ended meanwhile.
        backend_died: bool,
    },
}

impl Reply {
    /// Reads a frame that answers an attempt, with the load that it carries; other frames give
    /// `None`.
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
                let kind = kind_of(&frame.kind)?;
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
                let kind = kind_of(&frame.kind)?;
                let reply = Self::Failed { kind, backend_died: frame.backend_died };
                (frame.attempt, reply, None)
            }
            Body::Reserved(frame) => {
                (frame.attempt, Self::Reserved { granted: frame.granted }, frame.load)
            }
            Body::Prefilled(frame) => {
                let computed = match frame.handle {
                    Some(handle) => Ok(handle),
                    None => Err(kind_of(&frame.kind)?),
                };
                (frame.attempt, Self::Prefilled(computed), None)
            }
            _ => return Ok(None),
        };
        Ok(Some((Attempt::from_field(attempt)?, reply, load.map(Load::from))))
    }
}

fn kind_of(text: &str) -> Result<error::Kind, Error> {
    text.parse().map_err(|_| Error::Invalid("kind"))
}
