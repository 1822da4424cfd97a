//! One attempt on one runner.

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
use crate::runners::REJOIN_LIMIT;
use crate::runners::Reply;

/// Pause before a further resumption when the link closed again.
const RESUME_PAUSE: Duration = Duration::from_millis(50);

/// How an attempt ended.
pub enum Ended {
    /// The request has its outcome.
    With(End),
    /// The runner proved that it started nothing.
    Refused(Attempt<Sent>, error::Kind, Option<Duration>),
    /// The runner was lost, or failed in a way that another may not.
    Lost(Attempt<Sent>, error::Kind),
}

/// What follows from a reply.
enum Step {
    Next,
    Resume,
    End(End),
    Refused(error::Kind, Option<Duration>),
    Failed(error::Kind),
}

impl Driver {
    /// Runs one attempt on a runner.
    pub(super) async fn attempt(
        &mut self,
        attempt: Attempt<Unsent>,
        mut call: Call,
        suspect: bool,
    ) -> Ended {
        let number = WireAttempt { request: attempt.request(), number: attempt.number() };
        let incarnation = call.incarnation();
        let origin = Origin { request: number.request, attempt: number.number, incarnation };
        let span = self.request.trace.span("entry.attempt", self.request.id);
        let trace = self.request.trace.within(&span);
        self.note(&format!("attempt {} on runner {}", number.number, call.runner()));
        let sent = attempt.send();
        self.replay.restart();
        if call.start(&self.request, number, suspect, self.daemon.now(), trace).await.is_err() {
            return Ended::Lost(sent, error::Kind::RunnerLost);
        }
        let mut receiver = Receiver::new(origin, 0);
        let mut resumed = false;
        let until = self.daemon.clock().instant(self.request.deadline.moment());
        loop {
            let reply = tokio::select! {
                reply = timeout_at(until, call.reply()) => reply,
                () = self.output.closed(), if self.request.idempotent => {
                    self.leave(&call);
                    return Ended::With(Outcome::Failed(error::Kind::Cancelled).into());
                }
            };
            let Ok(reply) = reply else {
                call.cancel();
                return Ended::With(self.out_of_time());
            };
            let step = match reply {
                Some(reply) => self.take(&mut receiver, number, &call, reply).await,
                None if call.rejoin(incarnation, REJOIN_LIMIT).await => Step::Resume,
                None => return Ended::Lost(sent, error::Kind::RunnerLost),
            };
            match step {
                Step::Next => {}
                Step::Resume => {
                    resumed = true;
                    self.note(&format!("resumed at {}", receiver.next_offset()));
                    let resume = self.resume_frame(&receiver, number);
                    if call.resume(resume, number).await.is_err() {
                        call.abandon();
                        sleep(RESUME_PAUSE).await;
                    }
                }
                Step::End(end) => return Ended::With(end),
                Step::Refused(..) if resumed => {
                    return Ended::Lost(sent, error::Kind::RunnerLost);
                }
                Step::Refused(kind, retry_after) => return Ended::Refused(sent, kind, retry_after),
                Step::Failed(kind) => return Ended::Lost(sent, kind),
            }
        }
    }

    /// Leaves an attempt whose caller went away; a streamed one can be resumed for a while.
    fn leave(&self, call: &Call) {
        if self.request.streamed {
            call.detach();
        } else {
            call.cancel();
        }
    }

    /// Judges a reply and hands a piece of the answer over.
    async fn take(
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
                    _ => return Step::Next,
                }
                let fresh = match self.replay.advance(&data) {
                    Ok(rest) => data.slice_ref(rest),
                    Err(Mismatch) => {
                        call.cancel();
                        return Step::End(Outcome::Failed(error::Kind::RunnerLost).into());
                    }
                };
                if !fresh.is_empty() {
                    self.measure();
                    self.permit.keep(&fresh);
                    let runner = call.runner().clone();
                    let offset = receiver.next_offset();
                    let position = Position { runner, incarnation, attempt, offset };
                    let chunk = Chunk { position, data: fresh };
                    let _ = self.output.send(Output::Chunk(chunk)).await;
                }
                Step::Next
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
                    _ => Step::Next,
                }
            }
            Reply::Refused { kind, retry_after } => Step::Refused(kind, retry_after),
            Reply::Failed { kind, .. } => Step::Failed(kind),
            Reply::Accepted | Reply::Reserved { .. } | Reply::Prefilled(_) => Step::Next,
        }
    }

    /// Counts the time to the first piece, or since the last one.
    fn measure(&mut self) {
        let now = self.daemon.now();
        let metrics = self.daemon.recorder().metrics();
        match self.last_piece.replace(now) {
            None => {
                metrics.observe_first_token(self.request.prompt, now.since(self.request.arrived))
            }
            Some(last) => metrics.observe_token_gap(self.request.prompt, now.since(last)),
        }
    }

    /// Builds the frame that asks for the rest of an answer.
    fn resume_frame(&self, receiver: &Receiver, attempt: WireAttempt) -> link::Resume {
        link::Resume {
            attempt: Some(attempt.into()),
            incarnation: receiver.origin().incarnation,
            offset: receiver.next_offset(),
            account: self.request.account.to_string(),
        }
    }

    /// Returns the outcome of a request whose deadline passed while a runner had it.
    fn out_of_time(&self) -> End {
        let kind = error::Kind::DeadlineExceeded;
        if !self.replay.is_empty() && self.request.idempotent {
            return Outcome::Failed(kind).into();
        }
        Outcome::Unknown(kind).into()
    }
}
