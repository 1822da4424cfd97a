use bytes::Bytes;

use crate::Fault;

/// Largest event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Counts the bytes of the event of a stream that is being received.
#[derive(Debug, Default)]
pub(super) struct Limit {
    event_bytes: usize,
    /// Whether nothing of the present line has arrived.
    is_line_empty: bool,
    /// Whether the last byte was a carriage return, so that a line feed belongs to it.
    is_after_return: bool,
}

impl Limit {
    /// Counts bytes that have arrived, and passes them on.
    ///
    /// # Errors
    ///
    /// Fails if they belong to an event that is too large.
    pub fn count(&mut self, bytes: Bytes) -> Result<Bytes, Fault> {
        for byte in &bytes {
            self.count_byte(*byte);
            if self.event_bytes > MAX_EVENT_BYTES {
                return Err(Fault::Malformed("event exceeds the size limit".to_owned()));
            }
        }
        Ok(bytes)
    }

    /// Counts a byte; an empty line ends an event.
    const fn count_byte(&mut self, byte: u8) {
        let belongs_to_return = byte == b'\n' && self.is_after_return;
        self.is_after_return = byte == b'\r';
        if belongs_to_return {
            return;
        }
        self.event_bytes += 1;
        let ends_line = matches!(byte, b'\n' | b'\r');
        if ends_line && self.is_line_empty {
            self.event_bytes = 0;
        }
        self.is_line_empty = ends_line;
    }
}
