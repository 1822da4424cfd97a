//! Reading the bodies of servers' responses that are not streamed.
//!
//! A body is buffered, since only its end shows whether it is complete. A faulty server may send
//! one without end, so the size, the memory of all bodies together and the time are bounded.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use kumquattiller_base::time::Moment;
use tokio::sync::Semaphore;
use tokio::time::timeout_at;

use crate::Gateway;
use crate::http::Received;
use crate::http::send;
use crate::unread::PIECE_BYTES;

/// Largest body, in bytes.
const MAX_BYTES: usize = 16 * 1024 * 1024;
/// Largest body of a refusal that is read so that its connection can be used again, in bytes.
const MAX_REFUSAL_BYTES: usize = 16 * 1024;
/// Time limit for reading the body of a refusal.
const REFUSAL_TIME: Duration = Duration::from_millis(50);
/// Memory of all bodies together, in units of [`UNIT_BYTES`].
const MEMORY_UNITS: usize = 2 * MAX_BYTES / UNIT_BYTES;
/// Unit in which memory is assigned to bodies, in bytes.
const UNIT_BYTES: usize = 16 * 1024;

/// Reason why a body was not read to its end.
#[derive(Debug)]
pub enum Error {
    /// The connection failed.
    Connection(hyper::Error),
    /// The body exceeds its size limit.
    TooLarge,
    /// Other bodies take all memory.
    NoMemory,
    /// The body was not complete in time.
    Late,
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Connection(error) => error.fmt(f),
            Self::TooLarge => f.write_str("the body exceeds the size limit"),
            Self::NoMemory => f.write_str("other response bodies take all memory"),
            Self::Late => f.write_str("the body was not complete in time"),
        }
    }
}

impl std::error::Error for Error {}

/// The memory of all bodies that are being read.
#[derive(Debug)]
pub struct Memory(Semaphore);

impl Default for Memory {
    fn default() -> Self {
        Self(Semaphore::new(MEMORY_UNITS))
    }
}

/// Reads the body of a response, and returns its connection to the pool. A body of unknown length
/// must be complete at `unsized_until`, any other one at `until`.
///
/// # Errors
///
/// Fails if the body is too large, late or incomplete, or if there is no memory for it.
pub async fn read(
    gateway: &Gateway,
    received: Received,
    unsized_until: Moment,
    until: Moment,
) -> Result<Vec<Bytes>, Error> {
    let is_sized = received.body.size_hint().exact().is_some();
    let until = if is_sized { until } else { unsized_until };
    read_limited(gateway, received, until, MAX_BYTES).await
}

/// Reads the body of a refusal for the sake of its connection, which is closed if the body is not
/// short.
pub async fn discard(gateway: &Gateway, received: Received) {
    let until = gateway.now() + REFUSAL_TIME;
    if let Err(error) = read_limited(gateway, received, until, MAX_REFUSAL_BYTES).await {
        log::debug!(target: "connection", error:%; "closed the connection of a refusal");
    }
}

async fn read_limited(
    gateway: &Gateway,
    received: Received,
    until: Moment,
    limit: usize,
) -> Result<Vec<Bytes>, Error> {
    let Received { connection, info, body, .. } = received;
    let collecting = collect(gateway.response_memory(), body, limit);
    let collected = timeout_at(gateway.instant(until), collecting).await;
    let pieces = collected.unwrap_or(Err(Error::Late))?;
    send::return_to_pool(gateway, connection, &info, gateway.now());
    Ok(pieces)
}

/// Collects a body in memory that is taken from `memory` as the body grows. The body is in pieces, so
/// that its memory is released as its caller reads it.
async fn collect(memory: &Memory, mut body: Incoming, limit: usize) -> Result<Vec<Bytes>, Error> {
    if body.size_hint().lower() > limit as u64 {
        return Err(Error::TooLarge);
    }
    let mut permits = Vec::new();
    let mut pieces = Vec::new();
    let mut length = 0;
    let mut last = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(Error::Connection)?.into_data() else {
            continue;
        };
        length += data.len();
        if length > limit {
            return Err(Error::TooLarge);
        }
        last.extend_from_slice(&data);
        if last.len() >= PIECE_BYTES {
            pieces.push(std::mem::take(&mut last).freeze());
        }
        while permits.len() * UNIT_BYTES < length {
            permits.push(memory.0.try_acquire().map_err(|_| Error::NoMemory)?);
        }
    }
    pieces.push(last.freeze());
    Ok(pieces)
}
