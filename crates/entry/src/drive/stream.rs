use kumquattiller_base::time::Moment;

use crate::Daemon;
use crate::request::Admitted;
use crate::runners::Reply;

/// The part of an answer that came from one attempt.
#[derive(Debug, Default)]
pub struct Stream {
    next: u64,
    last: Option<Moment>,
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

    /// Counts the time to the first piece, or since the last one.
    pub fn measure(&mut self, daemon: &Daemon, request: &Admitted) {
        let now = daemon.now();
        let metrics = daemon.recorder().metrics();
        match self.last.replace(now) {
            None => metrics.first_token(request.prompt, now.since(request.arrived)),
            Some(last) => metrics.token_gap(request.prompt, now.since(last)),
        }
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
