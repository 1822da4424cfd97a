use crate::stream::Drops;
use crate::stream::Origin;

/// Checks the order and completeness of the response to one attempt.
#[derive(Debug)]
pub struct Receiver {
    origin: Origin,
    next_offset: u64,
    complete: bool,
    drops: Drops,
}

/// What to do with a received frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Verdict {
    /// The frame is the next chunk and is forwarded to the caller.
    Deliver,
    /// The frame is a duplicate or belongs to another attempt and is discarded.
    Drop,
    /// Data is missing; the caller has to resume the stream at the next expected offset.
    Gap,
    /// The complete response was delivered.
    Complete,
    /// The frame gives a total shorter than what was delivered; the response cannot complete.
    Contradiction,
}

impl Receiver {
    /// Creates a receiver that expects the response of `origin` starting at `offset`.
    pub fn new(origin: Origin, offset: u64) -> Self {
        Self { origin, next_offset: offset, complete: false, drops: Drops::default() }
    }

    /// Returns the origin whose frames are accepted.
    pub const fn origin(&self) -> Origin {
        self.origin
    }

    /// Returns the offset at which the next chunk is expected, in tokens or bytes.
    pub const fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Returns the counts of discarded frames.
    pub const fn drops(&self) -> Drops {
        self.drops
    }

    /// Checks a chunk of `count` tokens or bytes that starts at `offset`.
    pub fn accept_chunk(&mut self, origin: Origin, offset: u64, count: u64) -> Verdict {
        if let Some(verdict) = self.reject(origin) {
            return verdict;
        }
        if offset > self.next_offset {
            self.drops.early += 1;
            return Verdict::Gap;
        }
        if offset < self.next_offset {
            self.drops.repeated += 1;
            let overlaps = offset + count > self.next_offset;
            return if overlaps { Verdict::Gap } else { Verdict::Drop };
        }
        self.next_offset += count;
        Verdict::Deliver
    }

    /// Checks the final frame of a response of `total` tokens or bytes.
    pub fn accept_end(&mut self, origin: Origin, total: u64) -> Verdict {
        if let Some(verdict) = self.reject(origin) {
            return verdict;
        }
        if total > self.next_offset {
            return Verdict::Gap;
        }
        if total < self.next_offset {
            return Verdict::Contradiction;
        }
        self.complete = true;
        Verdict::Complete
    }

    /// Discards and counts a frame of another origin or one after the end of the response.
    fn reject(&mut self, origin: Origin) -> Option<Verdict> {
        if origin != self.origin {
            self.drops.foreign += 1;
            return Some(Verdict::Drop);
        }
        if self.complete {
            self.drops.late += 1;
            return Some(Verdict::Drop);
        }
        None
    }
}
