use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use kumquattiller_base::time::Moment;
use kumquattiller_wire::Attempt;
use kumquattiller_wire::link;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::job::End;
use crate::job::Part;

/// One attempt and what its backend server has answered so far.
#[derive(Debug)]
pub struct Job {
    attempt: Attempt,
    start: link::Start,
    cancel: CancellationToken,
    buffer: Mutex<Buffer>,
    changes: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct Buffer {
    parts: Vec<Part>,
    next: u64,
    end: Option<(End, Moment)>,
    subscribers: u32,
    alone_since: Option<Moment>,
}

impl Job {
    /// Creates a job that has no answer yet.
    pub fn new(attempt: Attempt, start: link::Start) -> Self {
        Self {
            attempt,
            start,
            cancel: CancellationToken::new(),
            buffer: Mutex::default(),
            changes: watch::Sender::new(0),
        }
    }

    /// Returns the attempt.
    pub const fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Returns the start that the job came with.
    pub const fn start(&self) -> &link::Start {
        &self.start
    }

    /// Returns the token that ends the job's work.
    pub const fn cancel(&self) -> &CancellationToken {
        &self.cancel
    }

    /// Appends a piece of the answer; returns false when it does not follow the last one.
    pub fn append(&self, part: Part) -> bool {
        {
            let mut buffer = self.lock();
            if part.offset != buffer.next || buffer.end.is_some() {
                return false;
            }
            buffer.next += part.count;
            buffer.parts.push(part);
        }
        self.changes.send_modify(|count| *count += 1);
        true
    }

    /// Ends the job; a second end is ignored.
    pub fn finish(&self, end: End, now: Moment) {
        self.lock().end.get_or_insert((end, now));
        self.changes.send_modify(|count| *count += 1);
    }

    /// Returns the offset after the last piece.
    pub fn next(&self) -> u64 {
        self.lock().next
    }

    /// Returns when the job ended, if it has.
    pub fn ended_at(&self) -> Option<Moment> {
        self.lock().end.as_ref().map(|(_, at)| *at)
    }

    /// Returns the pieces from `offset` on, and the end when it is reached.
    pub fn read(&self, offset: u64) -> (Vec<Part>, Option<End>) {
        let buffer = self.lock();
        let first = buffer.parts.partition_point(|part| part.offset < offset);
        let end = buffer.end.as_ref().map(|(end, _)| end.clone());
        (buffer.parts[first..].to_vec(), end)
    }

    /// Returns a receiver that is told of each change.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Counts a subscriber in.
    pub fn subscribe(&self) {
        let mut buffer = self.lock();
        buffer.subscribers += 1;
        buffer.alone_since = None;
    }

    /// Counts a subscriber out.
    pub fn unsubscribe(&self, now: Moment) {
        let mut buffer = self.lock();
        buffer.subscribers = buffer.subscribers.saturating_sub(1);
        if buffer.subscribers == 0 {
            buffer.alone_since = Some(now);
        }
    }

    /// Returns since when nobody subscribes, if so.
    pub fn alone_since(&self) -> Option<Moment> {
        self.lock().alone_since
    }

    fn lock(&self) -> MutexGuard<'_, Buffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
