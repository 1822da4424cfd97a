use crate::runners::Reply;

/// The part of an answer that came from one attempt.
#[derive(Debug, Default)]
pub struct Stream {
    next: u64,
}

/// What a reply means for the stream.
#[derive(Debug)]
pub enum Verdict {
    /// The next piece.
    Deliver,
    /// A piece that was delivered before.
    Drop,
    /// The whole answer was delivered.
    Complete,
    /// The reply does not follow.
    Broken,
}

impl Stream {
    /// Returns the offset of the next piece.
    pub const fn next(&self) -> u64 {
        self.next
    }

    /// Judges a reply and counts a delivered piece.
    pub fn judge(&mut self, reply: &Reply) -> Verdict {
        match reply {
            Reply::Chunk { offset, .. } if *offset < self.next => Verdict::Drop,
            Reply::Chunk { offset, count, .. } if *offset == self.next => {
                self.next += count;
                Verdict::Deliver
            }
            Reply::Final { total, .. } if *total == self.next => Verdict::Complete,
            Reply::Chunk { .. } | Reply::Final { .. } => Verdict::Broken,
            _ => Verdict::Drop,
        }
    }
}
