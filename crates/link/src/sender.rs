use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use kumquattiller_wire::Attempt;
use kumquattiller_wire::Body;
use kumquattiller_wire::Frame;
use kumquattiller_wire::link;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::Closed;

/// Largest part of a request body that one frame carries, in bytes.
pub const BODY_PART_BYTES: usize = 64 << 10;

/// Sends frames on a link.
#[derive(Debug, Clone)]
pub struct Sender {
    queue: mpsc::Sender<Frame>,
    /// Cancelled to close the link once the queued frames are written.
    closing: CancellationToken,
    sent_bytes: Arc<AtomicU64>,
    control_bytes: Arc<AtomicU64>,
}

impl Sender {
    pub(crate) const fn new(
        queue: mpsc::Sender<Frame>,
        closing: CancellationToken,
        sent_bytes: Arc<AtomicU64>,
        control_bytes: Arc<AtomicU64>,
    ) -> Self {
        Self { queue, closing, sent_bytes, control_bytes }
    }

    /// Queues a frame; waits while the queue is full.
    ///
    /// # Errors
    ///
    /// Fails when the link is closed.
    pub async fn send(&self, body: Body) -> Result<(), Closed> {
        self.queue.send(Frame { body: Some(body) }).await.map_err(|_| Closed)
    }

    /// Queues a frame unless the queue is full or closed; returns whether it was queued.
    pub fn try_send(&self, body: Body) -> bool {
        self.queue.try_send(Frame { body: Some(body) }).is_ok()
    }

    /// Sends a request body in parts of at most [`BODY_PART_BYTES`].
    ///
    /// # Errors
    ///
    /// Fails when the link is closed.
    pub async fn send_body(&self, attempt: Attempt, data: &Bytes) -> Result<(), Closed> {
        for start in (0..data.len()).step_by(BODY_PART_BYTES) {
            let end = data.len().min(start + BODY_PART_BYTES);
            let part = link::Body {
                attempt: Some(attempt.into()),
                offset: start as u64,
                data: data.slice(start..end),
            };
            self.send(Body::BodyPart(part)).await?;
        }
        Ok(())
    }

    /// Closes the sending direction once the frames that are queued are written; later frames are
    /// refused.
    pub fn close(&self) {
        self.closing.cancel();
    }

    /// Waits until the link is closed.
    pub async fn closed(&self) {
        self.queue.closed().await;
    }

    /// Returns whether the link is closed.
    pub fn is_closed(&self) -> bool {
        self.queue.is_closed()
    }

    /// Returns the bytes written to the link so far.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }

    /// Returns the bytes of control frames sent and received since the last call, and resets the
    /// count.
    pub fn take_control_bytes(&self) -> u64 {
        self.control_bytes.swap(0, Ordering::Relaxed)
    }
}
