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

/// Longest wait for a new link to a runner; it cancels work that nobody listens to a little later.
pub const REJOIN_LIMIT: Duration = Duration::from_millis(2_500);

/// Pause between looks for a new link.
const REJOIN_PAUSE: Duration = Duration::from_millis(50);

/// One attempt on one runner; dropping it waits no longer for replies.
#[derive(Debug)]
pub struct Call {
    remote: Arc<Remote>,
    sender: Sender,
    current: Option<(Attempt, mpsc::UnboundedReceiver<Reply>)>,
    tail: Option<Tail>,
}

/// The last segment of a prompt that is larger than an engine, and what stands before it.
#[derive(Debug, Clone)]
pub struct Tail {
    /// The reservation that covers the segment and the answer.
    pub reservation: u64,
    /// KV of the segments before, in order.
    pub context: Vec<link::Handle>,
    /// Tokens of the segment.
    pub tokens: Tokens,
    /// Text of the segment.
    pub body: Bytes,
}

impl Call {
    /// Prepares a call over an open link.
    pub const fn new(remote: Arc<Remote>, sender: Sender) -> Self {
        Self { remote, sender, current: None, tail: None }
    }

    /// Returns the runner.
    pub fn runner(&self) -> &runner::Id {
        &self.remote.runner().id
    }

    /// Sends the start of an attempt and its body.
    ///
    /// # Errors
    ///
    /// Fails when the link is closed; the attempt may have started all the same.
    pub async fn start(
        &mut self,
        request: &Admitted,
        attempt: Attempt,
        suspect: bool,
        now: Moment,
        trace: traces::Context,
    ) -> Result<(), Closed> {
        self.current = Some((attempt, self.remote.wait_for(attempt)));
        let mut start = start_frame(request, attempt, self.remote.incarnation(), now);
        start.suspect = suspect;
        start.trace_parent = trace.to_string();
        let mut body = &request.body;
        if let Some(tail) = &self.tail {
            tail.put_into(&mut start);
            body = &tail.body;
        }
        self.sender.send(Body::Start(start)).await?;
        self.sender.send_body(attempt, body).await
    }

    /// Lets the next start bring the last segment of a prompt alone.
    pub fn set_tail(&mut self, tail: Tail) {
        self.tail = Some(tail);
    }

    /// Asks the runner to set memory aside.
    ///
    /// # Errors
    ///
    /// Fails when the link is closed.
    pub async fn reserve(
        &mut self,
        attempt: Attempt,
        reserve: link::Reserve,
    ) -> Result<(), Closed> {
        self.current = Some((attempt, self.remote.wait_for(attempt)));
        self.sender.send(Body::Reserve(reserve)).await
    }

    /// Sends a segment of a prompt to be computed.
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

    /// Gives back what was set aside, with everything under it.
    pub fn release(&self, reservation: u64) {
        let sender = self.sender.clone();
        let release = link::Release { reservation };
        tokio::spawn(async move { sender.send(Body::Release(release)).await });
    }

    /// Waits for a new link to the same start of the runner's process; returns whether it came.
    pub async fn rejoin(&mut self, incarnation: u64, limit: Duration) -> bool {
        let waited = Instant::now();
        while waited.elapsed() < limit {
            if let Some(sender) = self.remote.sender() {
                self.sender = sender;
                return self.remote.incarnation() == incarnation;
            }
            sleep(REJOIN_PAUSE).await;
        }
        false
    }

    /// Waits for no more replies over the present link.
    pub fn abandon(&mut self) {
        self.current = None;
    }

    /// Returns the start of the runner's process that the link leads to.
    pub fn incarnation(&self) -> u64 {
        self.remote.incarnation()
    }

    /// Asks for the rest of an answer.
    ///
    /// # Errors
    ///
    /// Fails when the link is closed.
    pub async fn resume(&mut self, resume: link::Resume, attempt: Attempt) -> Result<(), Closed> {
        self.current = Some((attempt, self.remote.wait_for(attempt)));
        self.sender.send(Body::Resume(resume)).await
    }

    /// Returns the next reply, or `None` when the link closed.
    pub async fn reply(&mut self) -> Option<Reply> {
        let (_, replies) = self.current.as_mut()?;
        replies.recv().await
    }

    /// Tells the runner to stop working on the attempt.
    pub fn cancel(&self) {
        self.send_cancel(false);
    }

    /// Tells the runner that nobody listens here, so that the caller can resume for a while.
    pub fn detach(&self) {
        self.send_cancel(true);
    }

    fn send_cancel(&self, detach: bool) {
        if let Some((attempt, _)) = &self.current {
            let cancel = link::Cancel { attempt: Some((*attempt).into()), detach };
            let sender = self.sender.clone();
            tokio::spawn(async move { sender.send(Body::Cancel(cancel)).await });
        }
    }
}

impl Tail {
    /// Makes a start bring this segment in place of the whole prompt.
    fn put_into(&self, start: &mut link::Start) {
        start.reservation = self.reservation;
        start.context.clone_from(&self.context);
        start.prompt_tokens = self.tokens.get();
        start.body_bytes = self.body.len() as u64;
        start.block_hashes.clear();
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        if let Some((attempt, _)) = &self.current {
            self.remote.forget(*attempt);
        }
    }
}

/// Builds the start of an attempt.
fn start_frame(request: &Admitted, attempt: Attempt, incarnation: u64, now: Moment) -> link::Start {
    link::Start {
        attempt: Some(attempt.into()),
        service: request.service.to_string(),
        account: request.account.to_string(),
        model: request.model.as_ref().map(ToString::to_string).unwrap_or_default(),
        path: request.path.clone(),
        method: request.method.clone(),
        prompt_tokens: request.prompt.get(),
        max_tokens: request.max_tokens.get(),
        left_ms: request.deadline.remaining(now).as_millis() as u64,
        idempotent: request.idempotent,
        key: request.key.as_ref().map(|key| key.text().to_owned()).unwrap_or_default(),
        body_bytes: request.body.len() as u64,
        block_hashes: request.blocks.clone(),
        fingerprint_high: (request.fingerprint.get() >> 64) as u64,
        fingerprint_low: request.fingerprint.get() as u64,
        incarnation,
        rank: u32::from(request.rank.get()),
        ..link::Start::default()
    }
}
