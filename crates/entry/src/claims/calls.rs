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

/// Longest wait of a call for the answer to its claim.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// A message to the claims service.
#[derive(Debug)]
pub(super) enum Message {
    /// A call asks for a claim and waits for the answer.
    Claim(ClaimRequest, oneshot::Sender<Answer>),
    /// A claim ended.
    Event(Event),
    /// The sender waits until all outcomes are written to the store.
    Flush(oneshot::Sender<()>),
}

/// Handle to the claims service; clones share one service.
#[derive(Debug, Clone)]
pub struct Claims {
    messages: mpsc::UnboundedSender<Message>,
    clock: Clock,
}

impl Claims {
    /// Creates the handle and the inbox that the service receives from.
    pub(crate) fn new(clock: Clock) -> (Self, Inbox) {
        let (messages, inbox) = mpsc::unbounded_channel();
        (Self { messages, clock }, Inbox(inbox))
    }

    /// Claims an idempotency key. Returns [`Answer::Unavailable`] if the service has stopped.
    pub async fn claim(
        &self,
        key: request::Key,
        fingerprint: Fingerprint,
        deadline: Deadline,
    ) -> Answer {
        let now = self.now();
        let left = deadline.remaining(now.moment);
        let claim_request = ClaimRequest {
            call: CallId(0),
            key,
            fingerprint,
            attempt: Attempt::new(rand::random()),
            until: now.wall + deadline.moment().since(now.moment),
            start_by: now.moment + left,
            answer_by: now.moment + left.min(ANSWER_TIMEOUT),
        };
        let (sender, answer) = oneshot::channel();
        let _ = self.messages.send(Message::Claim(claim_request, sender));
        answer.await.unwrap_or(Answer::Unavailable)
    }

    /// Passes the end of a claim, released or finished, to the service.
    pub fn end(&self, event: Event) {
        let _ = self.messages.send(Message::Event(event));
    }

    /// Waits until all outcomes are written to the store, at most for `limit`.
    pub async fn flush(&self, limit: Duration) {
        let (sender, flushed) = oneshot::channel();
        let _ = self.messages.send(Message::Flush(sender));
        if tokio::time::timeout(limit, flushed).await.is_err() {
            log::warn!("claim outcomes were not all written to the store before shutdown");
        }
    }

    /// Returns the current time on the process's monotonic clock and on the wall clock.
    pub fn now(&self) -> Now {
        now(self.clock)
    }
}

/// Receiver of the messages to the claims service.
#[derive(Debug)]
pub struct Inbox(pub(super) mpsc::UnboundedReceiver<Message>);

/// Returns the current time on the process's monotonic clock and on the wall clock, which all
/// daemons share.
pub(super) fn now(clock: Clock) -> Now {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let wall = Timestamp::from_millis(since_epoch.as_millis() as u64);
    Now { moment: clock.now(), wall }
}
