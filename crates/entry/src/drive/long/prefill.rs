//! Computes a prompt in segments.

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
use crate::drive::long::Holding;
use crate::drive::run::Ended;
use crate::runners::Reply;
use crate::runners::Tail;

impl Driver {
    /// Runs an attempt over the engines on which memory is set aside.
    pub(in crate::drive) async fn attempt_on_several(
        &mut self,
        attempt: Attempt<Unsent>,
        mut holding: Holding,
        parts: &[Part],
    ) -> Ended {
        let number = WireAttempt { request: attempt.request(), number: attempt.number() };
        let mut segments = split_prompt(parts, self.request.prompt, &self.request.body);
        let Some(last) = segments.pop() else {
            return Ended::Lost(attempt.send(), error::Kind::Internal);
        };
        let mut context = Vec::with_capacity(segments.len());
        for (index, segment) in segments.iter().enumerate() {
            self.note(&format!("segment of {} on runner {}", segment.tokens, segment.runner));
            let frame = self.prefill_frame(&holding, number, index, segment, &context);
            match self.prefill(&mut holding, number, frame, segment).await {
                Ok(handle) => context.push(handle),
                Err(error::Kind::Cancelled) => {
                    return Ended::With(Outcome::Failed(error::Kind::Cancelled).into());
                }
                Err(kind) => {
                    self.note(&format!("runner {} computed no segment: {kind}", segment.runner));
                    return Ended::Lost(attempt.send(), kind);
                }
            }
        }
        let Some(mut call) = self.daemon.runners().call(&last.runner) else {
            return Ended::Lost(attempt.send(), error::Kind::RunnerLost);
        };
        let (tokens, body) = (last.tokens, self.request.body.slice(last.bytes));
        call.set_tail(Tail { reservation: holding.id(), context, tokens, body });
        // The holding lives until the answer has ended.
        let ended = self.attempt(attempt, call, false).await;
        drop(holding);
        ended
    }

    /// Has one segment computed; returns its KV.
    async fn prefill(
        &self,
        holding: &mut Holding,
        attempt: WireAttempt,
        frame: link::Prefill,
        segment: &Segment,
    ) -> Result<link::Handle, error::Kind> {
        let call = holding.call(&segment.runner).ok_or(error::Kind::RunnerLost)?;
        let sent =
            call.prefill(attempt, frame, &self.request.body.slice(segment.bytes.clone())).await;
        sent.map_err(|_| error::Kind::RunnerLost)?;
        let until = self.daemon.clock().instant(self.request.deadline.moment());
        loop {
            let reply = tokio::select! {
                reply = timeout_at(until, holding.reply()) => reply,
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
        holding: &Holding,
        attempt: WireAttempt,
        index: usize,
        segment: &Segment,
        context: &[link::Handle],
    ) -> link::Prefill {
        link::Prefill {
            attempt: Some(attempt.into()),
            reservation: holding.id(),
            segment: index as u64,
            tokens: segment.tokens.get(),
            context: context.to_vec(),
            model: self.request.model.as_ref().map(ToString::to_string).unwrap_or_default(),
            left_ms: self.request.deadline.left(self.daemon.now()).as_millis() as u64,
            body_bytes: segment.bytes.len() as u64,
        }
    }
}
