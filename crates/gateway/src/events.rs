//! Whole events of a stream of server-sent events.
//!
//! Only whole events are passed on, so that a stream that breaks in the middle of one can go on at
//! another server after the last whole event.

use bytes::Bytes;
use bytes::BytesMut;
use memchr::memmem;

/// Most bytes of one event.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// End of an event.
const EVENT_END: &[u8] = b"\n\n";
/// End of an event whose lines end with a carriage return.
const EVENT_END_CR: &[u8] = b"\r\n\r\n";

/// An event is larger than any that is accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooLarge;

/// Splits the bytes of a stream after whole events.
#[derive(Debug, Default)]
pub struct Splitter {
    held: BytesMut,
    last_id: Option<Vec<u8>>,
}

impl Splitter {
    /// Takes in bytes; returns the whole events that they complete, possibly none.
    ///
    /// # Errors
    ///
    /// Fails when an event has more than a mebibyte.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, TooLarge> {
        self.held.extend_from_slice(bytes);
        let whole = self.whole_len();
        if whole == 0 && self.held.len() > MAX_EVENT_BYTES {
            return Err(TooLarge);
        }
        let events = self.held.split_to(whole).freeze();
        if let Some(id) = last_id(&events) {
            self.last_id = Some(id.to_vec());
        }
        Ok(events)
    }

    /// Tells whether part of an event is held.
    pub fn is_partial(&self) -> bool {
        !self.held.is_empty()
    }

    /// Drops the part of an event that is held, before the stream goes on elsewhere.
    pub fn restart(&mut self) {
        self.held.clear();
    }

    /// Returns the id of the last whole event.
    pub fn last_id(&self) -> Option<&[u8]> {
        self.last_id.as_deref()
    }

    fn whole_len(&self) -> usize {
        let plain = memmem::rfind(&self.held, EVENT_END).map(|at| at + EVENT_END.len());
        let carriage = memmem::rfind(&self.held, EVENT_END_CR).map(|at| at + EVENT_END_CR.len());
        plain.max(carriage).unwrap_or(0)
    }
}

/// Returns the last id among whole events.
fn last_id(events: &[u8]) -> Option<&[u8]> {
    let lines = events.rsplit(|b| *b == b'\n');
    lines.map(|l| l.strip_suffix(b"\r").unwrap_or(l)).find_map(|l| {
        let id = l.strip_prefix(b"id:")?;
        Some(id.strip_prefix(b" ").unwrap_or(id))
    })
}
