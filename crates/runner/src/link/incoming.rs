use bytes::Bytes;
use bytes::BytesMut;
use kumquattiller_wire::link;

use crate::gate::Place;

/// A start whose body is not complete.
#[derive(Debug)]
pub struct Incoming {
    start: link::Start,
    place: Place,
    body: BytesMut,
}

impl Incoming {
    /// Waits for the body of a start.
    pub fn new(start: link::Start, place: Place) -> Self {
        Self { start, place, body: BytesMut::new() }
    }

    /// Appends a part of the body; returns false when it does not fit.
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

    /// Returns the start, its body and its place at the gate.
    pub fn into_parts(self) -> (link::Start, Bytes, Place) {
        (self.start, self.body.freeze(), self.place)
    }
}
