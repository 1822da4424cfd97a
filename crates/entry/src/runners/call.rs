use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use kumquattiller_base::runner;
use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;
use kumquattiller_link::Closed;
use kumquattiller_link::Sender;
use kumquattiller_telemetry::traces;
use kumquattiller_wire::Attempt;
use kumquattiller_wire::Body;
use kumquattiller_wire::link;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::request::Admitted;
use crate::runners::Remote;
use crate::runners::Reply;

/// Longest wait for a new link to a runner, slightly shorter than the time after which the runner
/// cancels an attempt without a listener.
pub const RECONNECT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Interval between checks for a new link.
const RECONNECT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// One attempt on one runner; dropping it ends the subscription to the replies.
#[derive(Debug)]
pub struct Call {
    remote: Arc<Remote>,
    sender: Sender,
    subscription: Option<(Attempt, mpsc::UnboundedReceiver<Reply>)>,
    tail: Option<Tail>,
}

/// The last segment of a prompt that exceeds one engine, with the KV cache of the segments before.
#[derive(Debug, Clone)]
pub struct Tail {
    /// Id of the reservation that covers the segment and the answer.
    pub reservation: u64,
    /// Handles to the KV cache of the preceding segments, in order.
    pub context: Vec<link::Handle>,
    /// Length of the segment, in tokens.
    pub tokens: Tokens,
    /// Text of the segment.
    pub body: Bytes,
}

impl Call {
    /// Creates a call over an open link.
    pub const fn new(remote: Arc<Remote>, sender: Sender) -> Self {
        Self { remote, sender, subscription: None, tail: None }
    }

    /// Returns the id of the runner.
    pub fn runner(&self) -> &runner::Id {
        &self.remote.runner().id
    }

    /// Starts an attempt: sends the `Start` frame and the request body.
    ///
    /// # Errors
    ///
    /// Fails when the link is closed; the attempt may have started nevertheless.
    pub async fn start(
        &mut self,
        request: &Admitted,
        attempt: Attempt,
        suspect: bool,
        now: Moment,
        trace: traces::Context,
    ) -> Result<(), Closed> {
        self.subscription = Some((attempt, self.remote.subscribe(attempt)));
        let mut start = start_frame(request, attempt, self.remote.incarnation(), now);
        start.suspect = suspect;
        start.trace_parent = trace.to_string();
        let mut body = &request.body;
        if let Some(tail) = &self.tail {
            tail.apply_to(&mut start);
            body = &tail.body;
        }
        self.sender.send(Body::Start(start)).await?;
        self.sender.send_body(attempt, body).await
    }

    /// Makes the next [`Self::start`] send only the last segment of the prompt.
    pub fn set_tail(&mut self, tail: Tail) {
        self.tail = Some(tail);
    }

    /// Asks the runner to reserve memory.
    ///
    /// # Errors
    ///
    /// Fails when the link is closed.
    pub async fn reserve(
        &mut self,
        attempt: Attempt,
        reserve: link::Reserve,
    ) -> Result<(), Closed> {
        self.subscription = Some((attempt, self.remote.subscribe(attempt)));
        self.sender.send(Body::Reserve(reserve)).await
    }

    /// Sends a segment of a prompt for the runner to prefill.
    ///
    /// # Errors
    ///
    /// Fails when the link is closed.
    pub async fn prefill(
        &self,
        attempt: Attempt,
        prefill: link::Prefill,
        body: &Bytes,
    ) -> Result<(), Closed> {
        self.sender.send(Body::Prefill(prefill)).await?;
        self.sender.send_body(attempt, body).await
    }

    /// Releases a reservation and everything held under it.
    pub fn release(&self, reservation: u64) {
        let sender = self.sender.clone();
        let release = link::Release { reservation };
        tokio::spawn(async move { sender.send(Body::Release(release)).await });
    }

    /// Waits for a new link to the runner, up to `limit`; returns whether it opened and leads to
    /// the same incarnation of the runner process.
    pub async fn wait_for_reconnect(&mut self, incarnation: u64, limit: Duration) -> bool {
        let started = Instant::now();
        while started.elapsed() < limit {
            if let Some(sender) = self.remote.sender() {
                self.sender = sender;
                return self.remote.incarnation() == incarnation;
            }
            sleep(RECONNECT_POLL_INTERVAL).await;
        }
        false
    }

    /// Discards the subscription to replies over the current link.
    pub fn drop_subscription(&mut self) {
        self.subscription = None;
    }

    /// Returns the incarnation of the runner process that the link leads to.
    pub fn incarnation(&self) -> u64 {
        self.remote.incarnation()
    }

    /// Asks the runner for the rest of an answer.
    ///
    /// # Errors
    ///
    /// Fails when the link is closed.
    pub async fn resume(&mut self, resume: link::Resume, attempt: Attempt) -> Result<(), Closed> {
        self.subscription = Some((attempt, self.remote.subscribe(attempt)));
        self.sender.send(Body::Resume(resume)).await
    }

    /// Waits for the next reply; returns `None` when the link closed.
    pub async fn reply(&mut self) -> Option<Reply> {
        let (_, replies) = self.subscription.as_mut()?;
        replies.recv().await
    }

    /// Tells the runner to cancel the attempt.
    pub fn cancel(&self) {
        self.send_cancel(false);
    }

    /// Tells the runner that this daemon no longer reads the answer; for a while the caller can
    /// still resume it.
    pub fn detach(&self) {
        self.send_cancel(true);
    }

    fn send_cancel(&self, detach: bool) {
        if let Some((attempt, _)) = &self.subscription {
            let cancel = link::Cancel { attempt: Some((*attempt).into()), detach };
            let sender = self.sender.clone();
            tokio::spawn(async move { sender.send(Body::Cancel(cancel)).await });
        }
    }
}

impl Tail {
    /// Changes a `Start` frame to send this segment instead of the whole prompt.
    fn apply_to(&self, start: &mut link::Start) {
        start.reservation = self.reservation;
        start.context.clone_from(&self.context);
        start.prompt_tokens = self.tokens.get();
        start.body_bytes = self.body.len() as u64;
        start.block_hashes.clear();
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        if let Some((attempt, _)) = &self.subscription {
            self.remote.unsubscribe(*attempt);
        }
    }
}

/// Builds the `Start` frame of an attempt.
fn start_frame(request: &Admitted, attempt: Attempt, incarnation: u64, now: Moment) -> link::Start {
    link::Start {
        attempt: Some(attempt.into()),
        service: request.service.to_string(),
        account: request.account.to_string(),
        model: request.model.as_ref().map(ToString::to_string).unwrap_or_default(),
        path: request.path.clone(),
        method: request.method.clone(),
        prompt_tokens: request.prompt_tokens.get(),
        max_tokens: request.max_tokens.get(),
        left_ms: request.deadline.remaining(now).as_millis() as u64,
        idempotent: request.idempotent,
        key: request.idempotency_key.as_ref().map(|key| key.text().to_owned()).unwrap_or_default(),
        body_bytes: request.body.len() as u64,
        block_hashes: request.block_hashes.clone(),
        fingerprint_high: (request.fingerprint.get() >> 64) as u64,
        fingerprint_low: request.fingerprint.get() as u64,
        incarnation,
        rank: u32::from(request.rank.get()),
        ..link::Start::default()
    }
}
