use crate::stream::Drops;
use crate::stream::Origin;

/// Receives the answer of one attempt.
#[derive(Debug)]
pub struct Receiver {
    origin: Origin,
    next: u64,
    complete: bool,
    drops: Drops,
}

/// What a frame means for an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Verdict {
    /// The next piece; it goes to the caller.
    Deliver,
    /// Not used.
    Drop,
    /// Pieces before this frame are missing; the answer is to be resumed at the next offset.
    Gap,
    /// The whole answer was delivered.
    Complete,
    /// The frame contradicts what was delivered; the answer cannot be completed.
    Contradiction,
}

impl Receiver {
    /// Expects the answer of `origin` from `offset` on.
    pub fn new(origin: Origin, offset: u64) -> Self {
        Self { origin, next: offset, complete: false, drops: Drops::default() }
    }

    /// Returns where the answer comes from.
    pub const fn origin(&self) -> Origin {
        self.origin
    }

    /// Returns the offset of the next piece.
    pub const fn next(&self) -> u64 {
        self.next
    }

    /// Returns the counts of unused frames.
    pub const fn drops(&self) -> Drops {
        self.drops
    }

    /// Judges a piece of `count` tokens, or bytes, that begins at `offset`.
    pub fn chunk(&mut self, origin: Origin, offset: u64, count: u64) -> Verdict {
        if let Some(verdict) = self.reject(origin) {
            return verdict;
        }
        if offset > self.next {
            self.drops.early += 1;
            return Verdict::Gap;
        }
        if offset < self.next {
            self.drops.repeated += 1;
            let overlaps = offset + count > self.next;
            return if overlaps { Verdict::Gap } else { Verdict::Drop };
        }
        self.next += count;
        Verdict::Deliver
    }

    /// Judges the end of an answer of `total` tokens or bytes.
    pub fn end(&mut self, origin: Origin, total: u64) -> Verdict {
        if let Some(verdict) = self.reject(origin) {
            return verdict;
        }
        if total > self.next {
            return Verdict::Gap;
        }
        if total < self.next {
            return Verdict::Contradiction;
        }
        self.complete = true;
        Verdict::Complete
    }

    /// Drops a frame of another origin or after the end.
    fn reject(&mut self, origin: Origin) -> Option<Verdict> {
        if origin != self.origin {
            self.drops.crossed += 1;
            return Some(Verdict::Drop);
        }
        if self.complete {
            self.drops.late += 1;
            return Some(Verdict::Drop);
        }
        None
    }
}
