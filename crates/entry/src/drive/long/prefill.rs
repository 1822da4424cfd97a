//! Computes a prompt in segments on several engines.

use kumquattiller_base::attempt::Attempt;
use kumquattiller_base::attempt::Unsent;
use kumquattiller_base::error;
use kumquattiller_base::outcome::Outcome;
use kumquattiller_routing::long::Part;
use kumquattiller_routing::long::Segment;
use kumquattiller_routing::long::split_prompt;
use kumquattiller_wire::Attempt as WireAttempt;
use kumquattiller_wire::link;
use tokio::time::timeout_at;

use crate::drive::Driver;
use crate::drive::long::Allocation;
use crate::drive::run::Conclusion;
use crate::runners::Reply;
use crate::runners::Tail;

impl Driver {
    /// Runs an attempt on the engines on which memory is reserved.
    pub(in crate::drive) async fn run_segmented_attempt(
        &mut self,
        attempt: Attempt<Unsent>,
        mut allocation: Allocation,
        parts: &[Part],
    ) -> Conclusion {
        let wire_attempt = WireAttempt { request: attempt.request(), number: attempt.number() };
        let mut segments = split_prompt(parts, self.request.prompt_tokens, &self.request.body);
        let Some(last) = segments.pop() else {
            return Conclusion::Lost(attempt.send(), error::Kind::Internal);
        };
        let mut context = Vec::with_capacity(segments.len());
        for (index, segment) in segments.iter().enumerate() {
            self.note(&format!("segment of {} on runner {}", segment.tokens, segment.runner));
            let frame = self.prefill_frame(&allocation, wire_attempt, index, segment, &context);
            match self.prefill_segment(&mut allocation, wire_attempt, frame, segment).await {
                Ok(handle) => context.push(handle),
                Err(error::Kind::Cancelled) => {
                    return Conclusion::Ended(Outcome::Failed(error::Kind::Cancelled).into());
                }
                Err(kind) => {
                    self.note(&format!("runner {} computed no segment: {kind}", segment.runner));
                    return Conclusion::Lost(attempt.send(), kind);
                }
            }
        }
        let Some(mut call) = self.daemon.runners().call(&last.runner) else {
            return Conclusion::Lost(attempt.send(), error::Kind::RunnerLost);
        };
        let (tokens, body) = (last.tokens, self.request.body.slice(last.bytes));
        call.set_tail(Tail { reservation: allocation.id(), context, tokens, body });
        // The memory stays reserved until the answer has ended.
        let conclusion = self.run_attempt(attempt, call, false).await;
        drop(allocation);
        conclusion
    }

    /// Has a runner compute one segment; returns the handle of its KV cache.
    async fn prefill_segment(
        &self,
        allocation: &mut Allocation,
        attempt: WireAttempt,
        frame: link::Prefill,
        segment: &Segment,
    ) -> Result<link::Handle, error::Kind> {
        let call = allocation.call_mut(&segment.runner).ok_or(error::Kind::RunnerLost)?;
        let sent =
            call.prefill(attempt, frame, &self.request.body.slice(segment.bytes.clone())).await;
        sent.map_err(|_| error::Kind::RunnerLost)?;
        let deadline = self.daemon.clock().instant(self.request.deadline.moment());
        loop {
            let reply = tokio::select! {
                reply = timeout_at(deadline, allocation.next_reply()) => reply,
                () = self.output.closed(), if self.request.idempotent => {
                    return Err(error::Kind::Cancelled);
                }
            };
            match reply {
                Err(_) => return Err(error::Kind::DeadlineExceeded),
                Ok((_, None)) => return Err(error::Kind::RunnerLost),
                Ok((_, Some(Reply::Prefilled(computed)))) => return computed,
                Ok((_, Some(_))) => {}
            }
        }
    }

    fn prefill_frame(
        &self,
        allocation: &Allocation,
        attempt: WireAttempt,
        index: usize,
        segment: &Segment,
        context: &[link::Handle],
    ) -> link::Prefill {
        link::Prefill {
            attempt: Some(attempt.into()),
            reservation: allocation.id(),
            segment: index as u64,
            tokens: segment.tokens.get(),
            context: context.to_vec(),
            model: self.request.model.as_ref().map(ToString::to_string).unwrap_or_default(),
            left_ms: self.request.deadline.remaining(self.daemon.now()).as_millis() as u64,
            body_bytes: segment.bytes.len() as u64,
        }
    }
}
