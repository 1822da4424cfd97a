use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use kumquattiller_base::deadline::Deadline;
use kumquattiller_base::fingerprint::Fingerprint;
use kumquattiller_base::request;
use kumquattiller_claims::Answer;
use kumquattiller_claims::Attempt;
use kumquattiller_claims::CallId;
use kumquattiller_claims::ClaimRequest;
use kumquattiller_claims::Event;
use kumquattiller_claims::Now;
use kumquattiller_claims::Timestamp;
use kumquattiller_link::Clock;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// Longest wait of a call for the store.
const ANSWER_WITHIN: Duration = Duration::from_secs(1);

/// What the service is told.
#[derive(Debug)]
pub(super) enum Message {
    /// A call wants a claim.
    Want(ClaimRequest, oneshot::Sender<Answer>),
    /// A claim ended.
    Event(Event),
    /// The sender waits until every outcome is in the store.
    Flush(oneshot::Sender<()>),
}

/// Asks for claims and ends them; clones share one service.
#[derive(Debug, Clone)]
pub struct Claims {
    messages: mpsc::UnboundedSender<Message>,
    clock: Clock,
}

impl Claims {
    /// Builds the side of the calls; returns what the service receives.
    pub(crate) fn new(clock: Clock) -> (Self, Inbox) {
        let (messages, inbox) = mpsc::unbounded_channel();
        (Self { messages, clock }, Inbox(inbox))
    }

    /// Asks for the claim of a key.
    pub async fn claim(
        &self,
        key: request::Key,
        fingerprint: Fingerprint,
        deadline: Deadline,
    ) -> Answer {
        let now = self.now();
        let left = deadline.left(now.moment);
        let want = ClaimRequest {
            call: CallId(0),
            key,
            fingerprint,
            attempt: Attempt::new(rand::random()),
            until: now.wall + deadline.moment().since(now.moment),
            start_by: now.moment + left,
            answer_by: now.moment + left.min(ANSWER_WITHIN),
        };
        let (sender, answer) = oneshot::channel();
        let _ = self.messages.send(Message::Want(want, sender));
        answer.await.unwrap_or(Answer::Unavailable)
    }

    /// Ends a claim.
    pub fn end(&self, event: Event) {
        let _ = self.messages.send(Message::Event(event));
    }

    /// Waits until every outcome is in the store, at most `limit`.
    pub async fn flush(&self, limit: Duration) {
        let (sender, flushed) = oneshot::channel();
        let _ = self.messages.send(Message::Flush(sender));
        if tokio::time::timeout(limit, flushed).await.is_err() {
            log::warn!("outcomes of claims were not recorded before the stop");
        }
    }

    /// Returns the present on both clocks.
    pub fn now(&self) -> Now {
        now(self.clock)
    }
}

/// What the service receives.
#[derive(Debug)]
pub struct Inbox(pub(super) mpsc::UnboundedReceiver<Message>);

/// Returns the present on the process's clock and on the shared one.
pub(super) fn now(clock: Clock) -> Now {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let wall = Timestamp::from_millis(since_epoch.as_millis() as u64);
    Now { moment: clock.now(), wall }
}
