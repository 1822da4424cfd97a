use bytes::Bytes;
use bytes::BytesMut;
use kumquattiller_wire::link;

use crate::gate::Permit;

/// A start whose body has not arrived completely.
#[derive(Debug)]
pub struct Incoming {
    start: link::Start,
    permit: Permit,
    body: BytesMut,
}

impl Incoming {
    /// Creates the state of a start of whose body nothing has arrived.
    pub fn new(start: link::Start, permit: Permit) -> Self {
        Self { start, permit, body: BytesMut::new() }
    }

    /// Appends a part of the body.
    ///
    /// Returns false when the part does not start at the end of what has arrived, or exceeds the
    /// body size that the start announced.
    pub fn append(&mut self, part: &link::Body) -> bool {
        let end = part.offset.saturating_add(part.data.len() as u64);
        if part.offset != self.body.len() as u64 || end > self.start.body_bytes {
            return false;
        }
        self.body.extend_from_slice(&part.data);
        true
    }

    /// Tells whether the body is complete.
    pub fn is_complete(&self) -> bool {
        self.body.len() as u64 == self.start.body_bytes
    }

    /// Returns the start, its body and its permit.
    pub fn into_parts(self) -> (link::Start, Bytes, Permit) {
        (self.start, self.body.freeze(), self.permit)
    }
}
