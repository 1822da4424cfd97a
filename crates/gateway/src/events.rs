//! Splits a byte stream into whole server-sent events.
//!
//! Only whole events are forwarded, so that a stream that is interrupted in the middle of an event
//! can be resumed at another server after the last whole event.

use bytes::Bytes;
use bytes::BytesMut;
use memchr::memmem;

/// Maximum size of an event.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// End of an event whose lines end with a line feed.
const EVENT_END: &[u8] = b"\n\n";
/// End of an event whose lines end with a carriage return and a line feed.
const EVENT_END_CRLF: &[u8] = b"\r\n\r\n";

/// Error for an event that exceeds the size limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooLarge;

/// Buffers the bytes of a stream and returns whole events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    last_id: Option<Vec<u8>>,
}

impl Splitter {
    /// Adds bytes of the stream and returns the whole events that they complete, possibly none.
    ///
    /// # Errors
    ///
    /// Fails if an event is larger than one mebibyte.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, TooLarge> {
        self.buffer.extend_from_slice(bytes);
        let complete = self.complete_len();
        if complete == 0 && self.buffer.len() > MAX_EVENT_BYTES {
            return Err(TooLarge);
        }
        let events = self.buffer.split_to(complete).freeze();
        if let Some(id) = last_id(&events) {
            self.last_id = Some(id.to_vec());
        }
        Ok(events)
    }

    /// Returns whether part of an event is buffered.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Discards a partially received event, before the stream is resumed at another server.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
    }

    /// Returns the last event id among the whole events so far.
    pub fn last_id(&self) -> Option<&[u8]> {
        self.last_id.as_deref()
    }

    fn complete_len(&self) -> usize {
        let lf_end = memmem::rfind(&self.buffer, EVENT_END).map(|at| at + EVENT_END.len());
        let crlf_end =
            memmem::rfind(&self.buffer, EVENT_END_CRLF).map(|at| at + EVENT_END_CRLF.len());
        lf_end.max(crlf_end).unwrap_or(0)
    }
}

/// Returns the last event id in `events`.
fn last_id(events: &[u8]) -> Option<&[u8]> {
    let lines = events.rsplit(|b| *b == b'\n');
    lines.map(|l| l.strip_suffix(b"\r").unwrap_or(l)).find_map(|l| {
        let id = l.strip_prefix(b"id:")?;
        Some(id.strip_prefix(b" ").unwrap_or(id))
    })
}
