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

/// One attempt and the answer of the backend server so far.
#[derive(Debug)]
pub struct Job {
    attempt: Attempt,
    start: link::Start,
    cancellation: CancellationToken,
    buffer: Mutex<Buffer>,
    changes: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct Buffer {
    parts: Vec<Part>,
    next_offset: u64,
    end: Option<(End, Moment)>,
    subscribers: u32,
    /// When the last subscriber left; `None` while there is one and before the first.
    unsubscribed_since: Option<Moment>,
}

impl Job {
    /// Creates a job with an empty answer.
    pub fn new(attempt: Attempt, start: link::Start) -> Self {
        Self {
            attempt,
            start,
            cancellation: CancellationToken::new(),
            buffer: Mutex::default(),
            changes: watch::Sender::new(0),
        }
    }

    /// Returns the attempt.
    pub const fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Returns the `Start` frame that the job was created from.
    pub const fn start(&self) -> &link::Start {
        &self.start
    }

    /// Returns the token whose cancellation stops the job's work.
    pub const fn cancellation(&self) -> &CancellationToken {
        &self.cancellation
    }

    /// Appends a part of the answer.
    ///
    /// Returns false when the part does not start at the next offset or the job has ended.
    pub fn append(&self, part: Part) -> bool {
        {
            let mut buffer = self.lock();
            if part.offset != buffer.next_offset || buffer.end.is_some() {
                return false;
            }
            buffer.next_offset += part.count;
            buffer.parts.push(part);
        }
        self.changes.send_modify(|count| *count += 1);
        true
    }

    /// Records how the job ended; later calls are ignored.
    pub fn finish(&self, end: End, now: Moment) {
        self.lock().end.get_or_insert((end, now));
        self.changes.send_modify(|count| *count += 1);
    }

    /// Returns the offset at which the next part of the answer starts.
    pub fn next_offset(&self) -> u64 {
        self.lock().next_offset
    }

    /// Returns when the job ended; `None` while it runs.
    pub fn ended_at(&self) -> Option<Moment> {
        self.lock().end.as_ref().map(|(_, at)| *at)
    }

    /// Returns the parts from `offset` on, and how the job ended if it has.
    pub fn read_from(&self, offset: u64) -> (Vec<Part>, Option<End>) {
        let buffer = self.lock();
        let first = buffer.parts.partition_point(|part| part.offset < offset);
        let end = buffer.end.as_ref().map(|(end, _)| end.clone());
        (buffer.parts[first..].to_vec(), end)
    }

    /// Returns a receiver that is notified when a part is appended and when the job ends.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Adds a subscriber to the count.
    pub fn add_subscriber(&self) {
        let mut buffer = self.lock();
        buffer.subscribers += 1;
        buffer.unsubscribed_since = None;
    }

    /// Removes a subscriber from the count.
    pub fn remove_subscriber(&self, now: Moment) {
        let mut buffer = self.lock();
        buffer.subscribers = buffer.subscribers.saturating_sub(1);
        if buffer.subscribers == 0 {
            buffer.unsubscribed_since = Some(now);
        }
    }

    /// Returns when the last subscriber left; `None` while there is one and before the first.
    pub fn unsubscribed_since(&self) -> Option<Moment> {
        self.lock().unsubscribed_since
    }

    fn lock(&self) -> MutexGuard<'_, Buffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
