use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use kumquattiller_wire::Attempt;
use kumquattiller_wire::Body;
use kumquattiller_wire::Frame;
use kumquattiller_wire::link;
use tokio::sync::mpsc;

use crate::Closed;

/// Size of the parts that a request body is cut into, in bytes.
pub const BODY_PART_BYTES: usize = 64 << 10;

/// Sends frames on a link.
#[derive(Debug, Clone)]
pub struct Sender {
    queue: mpsc::Sender<Frame>,
    sent_bytes: Arc<AtomicU64>,
    control_bytes: Arc<AtomicU64>,
}

impl Sender {
    pub(crate) const fn new(
        queue: mpsc::Sender<Frame>,
        sent_bytes: Arc<AtomicU64>,
        control_bytes: Arc<AtomicU64>,
    ) -> Self {
        Self { queue, sent_bytes, control_bytes }
    }

    /// Queues a frame, waiting for room.
    ///
    /// # Errors
    ///
    /// Fails when the link is closed.
    pub async fn send(&self, body: Body) -> Result<(), Closed> {
        self.queue.send(Frame { body: Some(body) }).await.map_err(|_| Closed)
    }

    /// Queues a frame when there is room; returns whether it was queued.
    pub fn try_send(&self, body: Body) -> bool {
        self.queue.try_send(Frame { body: Some(body) }).is_ok()
    }

    /// Sends a body in parts.
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

    /// Waits until the link is closed.
    pub async fn closed(&self) {
        self.queue.closed().await;
    }

    /// Tells whether the link is closed.
    pub fn is_closed(&self) -> bool {
        self.queue.is_closed()
    }

    /// Returns the bytes written to the link so far.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }

    /// Takes the bytes of control frames, sent and received, on the link since the last call.
    pub fn take_control_bytes(&self) -> u64 {
        self.control_bytes.swap(0, Ordering::Relaxed)
    }
}
