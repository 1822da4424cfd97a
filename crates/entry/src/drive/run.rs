//! Runs one attempt on one runner.
//!
//! If the link closes, the attempt is resumed at the next offset over a new link to the same
//! process. Data of a retry that the caller already has is compared and left out.

use std::time::Duration;

use kumquattiller_base::attempt::Attempt;
use kumquattiller_base::attempt::Sent;
use kumquattiller_base::attempt::Unsent;
use kumquattiller_base::error;
use kumquattiller_base::outcome::Outcome;
use kumquattiller_base::size::Tokens;
use kumquattiller_recovery::stream::Mismatch;
use kumquattiller_recovery::stream::Origin;
use kumquattiller_recovery::stream::Receiver;
use kumquattiller_recovery::stream::Verdict;
use kumquattiller_wire::Attempt as WireAttempt;
use kumquattiller_wire::link;
use tokio::time::sleep;
use tokio::time::timeout_at;

use crate::drive::Chunk;
use crate::drive::Driver;
use crate::drive::End;
use crate::drive::Output;
use crate::drive::Position;
use crate::runners::Call;
use crate::runners::RECONNECT_TIMEOUT;
use crate::runners::Reply;

/// Pause before the next resumption if the link closed while resuming.
const RESUME_PAUSE: Duration = Duration::from_millis(50);

/// How an attempt ended.
pub enum Conclusion {
    /// The attempt ended the request.
    Ended(End),
    /// The runner proved that it started nothing.
    Refused(Attempt<Sent>, error::Kind, Option<Duration>),
    /// The runner was lost, or failed in a way that may not recur on another runner.
    Lost(Attempt<Sent>, error::Kind),
}

/// What to do after a reply.
enum Step {
    Continue,
    Resume,
    End(End),
    Refused(error::Kind, Option<Duration>),
    Failed(error::Kind),
}

impl Driver {
    /// Runs one attempt on a runner.
    pub(super) async fn run_attempt(
        &mut self,
        attempt: Attempt<Unsent>,
        mut call: Call,
        suspect: bool,
    ) -> Conclusion {
        let wire_attempt = WireAttempt { request: attempt.request(), number: attempt.number() };
        let incarnation = call.incarnation();
        let origin =
            Origin { request: wire_attempt.request, attempt: wire_attempt.number, incarnation };
        let span = self.request.trace.span("entry.attempt", self.request.id);
        let trace = self.request.trace.within(&span);
        self.note(&format!("attempt {} on runner {}", wire_attempt.number, call.runner()));
        let sent = attempt.send();
        self.replay.restart();
        if call.start(&self.request, wire_attempt, suspect, self.daemon.now(), trace).await.is_err()
        {
            return Conclusion::Lost(sent, error::Kind::RunnerLost);
        }
        let mut receiver = Receiver::new(origin, 0);
        let mut resumed = false;
        let deadline = self.daemon.clock().instant(self.request.deadline.moment());
        loop {
            let reply = tokio::select! {
                reply = timeout_at(deadline, call.reply()) => reply,
                () = self.output.closed(), if self.request.idempotent => {
                    self.detach_or_cancel(&call);
                    return Conclusion::Ended(Outcome::Failed(error::Kind::Cancelled).into());
                }
            };
            let Ok(reply) = reply else {
                call.cancel();
                return Conclusion::Ended(self.deadline_exceeded());
            };
            let step = match reply {
                Some(reply) => self.handle_reply(&mut receiver, wire_attempt, &call, reply).await,
                None if call.wait_for_reconnect(incarnation, RECONNECT_TIMEOUT).await => {
                    Step::Resume
                }
                None => return Conclusion::Lost(sent, error::Kind::RunnerLost),
            };
            match step {
                Step::Continue => {}
                Step::Resume => {
                    resumed = true;
                    self.note(&format!("resumed at {}", receiver.next_offset()));
                    let resume = self.resume_frame(&receiver, wire_attempt);
                    if call.resume(resume, wire_attempt).await.is_err() {
                        call.drop_subscription();
                        sleep(RESUME_PAUSE).await;
                    }
                }
                Step::End(end) => return Conclusion::Ended(end),
                Step::Refused(..) if resumed => {
                    return Conclusion::Lost(sent, error::Kind::RunnerLost);
                }
                Step::Refused(kind, retry_after) => {
                    return Conclusion::Refused(sent, kind, retry_after);
                }
                Step::Failed(kind) => return Conclusion::Lost(sent, kind),
            }
        }
    }

    /// Stops waiting for an attempt whose caller disconnected. A streamed one keeps running for a
    /// while, so that the caller can resume it; any other is cancelled.
    fn detach_or_cancel(&self, call: &Call) {
        if self.request.streamed {
            call.detach();
        } else {
            call.cancel();
        }
    }

    /// Handles a reply and sends new data of the answer to the caller.
    async fn handle_reply(
        &mut self,
        receiver: &mut Receiver,
        attempt: WireAttempt,
        call: &Call,
        reply: Reply,
    ) -> Step {
        let origin = receiver.origin();
        match reply {
            Reply::Chunk { incarnation, offset, count, data } => {
                let origin = Origin { incarnation, ..origin };
                match receiver.accept_chunk(origin, offset, count) {
                    Verdict::Deliver => {}
                    Verdict::Gap => return Step::Resume,
                    _ => return Step::Continue,
                }
                let new_data = match self.replay.advance(&data) {
                    Ok(rest) => data.slice_ref(rest),
                    Err(Mismatch) => {
                        call.cancel();
                        return Step::End(Outcome::Failed(error::Kind::RunnerLost).into());
                    }
                };
                if !new_data.is_empty() {
                    self.record_latency();
                    self.permit.record_data(&new_data);
                    let runner = call.runner().clone();
                    let offset = receiver.next_offset();
                    let position = Position { runner, incarnation, attempt, offset };
                    let chunk = Chunk { position, data: new_data };
                    let _ = self.output.send(Output::Chunk(chunk)).await;
                }
                Step::Continue
            }
            Reply::Final { total, status, content_type, finish_reason } => {
                match receiver.accept_end(origin, total) {
                    Verdict::Complete if self.replay.is_caught_up() => {
                        let outcome = Outcome::Done { tokens: Tokens::new(total) };
                        Step::End(End { outcome, status, content_type, finish_reason })
                    }
                    Verdict::Complete | Verdict::Contradiction => {
                        Step::Failed(error::Kind::BackendFailed)
                    }
                    Verdict::Gap => Step::Resume,
                    _ => Step::Continue,
                }
            }
            Reply::Refused { kind, retry_after } => Step::Refused(kind, retry_after),
            Reply::Failed { kind, .. } => Step::Failed(kind),
            Reply::Accepted | Reply::Reserved { .. } | Reply::Prefilled(_) => Step::Continue,
        }
    }

    /// Records the time to the first chunk, or since the last one, in the metrics.
    fn record_latency(&mut self) {
        let now = self.daemon.now();
        let metrics = self.daemon.recorder().metrics();
        match self.last_chunk_at.replace(now) {
            None => metrics.observe_first_token(
                self.request.prompt_tokens,
                now.since(self.request.arrived_at),
            ),
            Some(last) => metrics.observe_token_gap(self.request.prompt_tokens, now.since(last)),
        }
    }

    /// Builds the frame that asks for the answer from the receiver's next offset on.
    fn resume_frame(&self, receiver: &Receiver, attempt: WireAttempt) -> link::Resume {
        link::Resume {
            attempt: Some(attempt.into()),
            incarnation: receiver.origin().incarnation,
            offset: receiver.next_offset(),
            account: self.request.account.to_string(),
        }
    }

    /// Returns the end of a request whose deadline passed during an attempt.
    fn deadline_exceeded(&self) -> End {
        let kind = error::Kind::DeadlineExceeded;
        if !self.replay.is_empty() && self.request.idempotent {
            return Outcome::Failed(kind).into();
        }
        Outcome::Unknown(kind).into()
    }
}
