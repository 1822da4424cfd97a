use std::time::Duration;

use kumquattiller_base::attempt::Attempt;
use kumquattiller_base::attempt::Sent;
use kumquattiller_base::attempt::Unsent;
use kumquattiller_base::error;
use kumquattiller_base::outcome::Outcome;
use kumquattiller_base::runner;
use kumquattiller_base::size::Tokens;
use kumquattiller_wire::Attempt as WireAttempt;
use tokio::sync::mpsc;
use tokio::time::timeout_at;

use crate::Daemon;
use crate::drive::Chunk;
use crate::drive::End;
use crate::drive::Output;
use crate::drive::Position;
use crate::drive::permit::Permit;
use crate::drive::repeat::Repeat;
use crate::drive::stream::Stream;
use crate::drive::stream::Verdict;
use crate::request::Admitted;
use crate::runners::Call;
use crate::runners::Reply;

/// Most runners that one request is tried on.
const MAX_RUNNERS: usize = 3;

/// Runs the attempts of one request.
#[derive(Debug)]
pub struct Driver {
    daemon: Daemon,
    request: Admitted,
    output: mpsc::Sender<Output>,
    tried: Vec<runner::Id>,
    permit: Permit,
}

/// How an attempt ended.
enum Ended {
    /// The request has its outcome.
    With(End),
    /// The runner proved that it started nothing.
    Refused(Attempt<Sent>, error::Kind, Option<Duration>),
    /// The runner was lost, or failed in a way that another may not.
    Lost(Attempt<Sent>, error::Kind),
}

impl Driver {
    /// Prepares to run a request whose answer goes to `output`.
    pub fn new(daemon: Daemon, request: Admitted, output: mpsc::Sender<Output>) -> Self {
        Self { daemon, request, output, tried: Vec::new(), permit: Permit::default() }
    }

    /// Runs attempts until the request has its outcome, and hands it over.
    pub async fn run(mut self) {
        let span = self.request.trace.span("request", self.request.id);
        self.request.trace = self.request.trace.within(&span);
        self.daemon.recorder().metrics().admitted();
        self.note(&format!(
            "admitted for {} with {}, {} ms left",
            self.request.service,
            self.request.prompt,
            self.request.deadline.left(self.daemon.now()).as_millis()
        ));
        let end = match self.claim().await {
            None => self.attempts().await,
            Some(end) => end,
        };
        self.note(&format!("ended: {:?}", end.outcome));
        self.daemon.recorder().metrics().ended();
        self.daemon.recorder().metrics().outcome(&end.outcome);
        log::info!(
            request:% = self.request.id, account:% = self.request.account,
            outcome:? = end.outcome;
            "request ended"
        );
        let _ = self.output.send(Output::End(end.clone())).await;
        self.permit.end(self.daemon.claims(), &end);
    }

    /// Claims the key of a non-idempotent request; returns an end when it may not start.
    async fn claim(&mut self) -> Option<End> {
        if self.request.idempotent {
            return None;
        }
        let unsent = Attempt::first(self.request.id);
        let Some(key) = self.request.key.clone() else {
            return Some(not_run(unsent, error::Kind::MissingKey, None));
        };
        let claims = self.daemon.claims();
        let answer = claims.claim(key, self.request.fingerprint, self.request.deadline).await;
        match Repeat::of(answer, unsent) {
            Repeat::No(claim) => {
                self.permit = Permit::of(claim);
                None
            }
            Repeat::Yes(data, end) => {
                if let Some(data) = data {
                    let position = Position::recorded(self.request.id);
                    let _ = self.output.send(Output::Chunk(Chunk { position, data })).await;
                }
                Some(end)
            }
        }
    }

    /// Runs one attempt after the other.
    async fn attempts(&mut self) -> End {
        let mut attempt = Attempt::first(self.request.id);
        let mut reason = (error::Kind::NoRunner, None);
        loop {
            if self.request.deadline.is_over(self.daemon.now()) {
                return not_run(attempt, error::Kind::DeadlineExpired, None);
            }
            if self.tried.len() >= MAX_RUNNERS {
                return not_run(attempt, reason.0, reason.1);
            }
            let now = self.daemon.now();
            let chosen = self.daemon.runners().choose(&self.request, &self.tried, now);
            let Some((call, why)) = chosen else {
                return not_run(attempt, reason.0, reason.1);
            };
            self.note(&format!("chose runner {}: {why}", call.runner()));
            self.tried.push(call.runner().clone());
            if !self.permit.start(self.daemon.claims()) {
                return not_run(attempt, error::Kind::DeadlineExpired, None);
            }
            let ended = self.attempt(attempt, call).await;
            if let Some(runner) = self.tried.last() {
                self.daemon.runners().routes().finished(&self.request.service, runner);
            }
            match ended {
                Ended::With(end) => return end,
                Ended::Refused(sent, kind, retry_after) => {
                    self.note(&format!("the runner refused: {kind}"));
                    self.daemon.recorder().metrics().retry();
                    reason = (kind, retry_after);
                    let refused = sent.refuse();
                    self.permit.refused(&refused);
                    attempt = refused.again();
                }
                Ended::Lost(_, kind) if !self.request.idempotent => {
                    return Outcome::Unknown(kind).into();
                }
                Ended::Lost(sent, kind) => {
                    self.note(&format!("the attempt was lost: {kind}"));
                    self.daemon.recorder().metrics().retry();
                    reason = (kind, None);
                    attempt = sent.again();
                }
            }
        }
    }

    /// Runs one attempt on a runner.
    async fn attempt(&mut self, attempt: Attempt<Unsent>, mut call: Call) -> Ended {
        let number = WireAttempt { request: attempt.request(), number: attempt.number() };
        let span = self.request.trace.span("attempt", self.request.id);
        let trace = self.request.trace.within(&span);
        self.note(&format!("attempt {} on runner {}", number.number, call.runner()));
        let sent = attempt.send();
        if call.start(&self.request, number, self.daemon.now(), trace).await.is_err() {
            return Ended::Lost(sent, error::Kind::RunnerLost);
        }
        let mut stream = Stream::default();
        let until = self.daemon.clock().instant(self.request.deadline.moment());
        loop {
            let reply = tokio::select! {
                reply = timeout_at(until, call.reply()) => reply,
                () = self.output.closed(), if self.request.idempotent => {
                    call.cancel();
                    return Ended::With(Outcome::Failed(error::Kind::Cancelled).into());
                }
            };
            let Ok(reply) = reply else {
                call.cancel();
                return Ended::With(self.out_of_time(&stream));
            };
            let Some(reply) = reply else {
                return self.lost(sent, &stream);
            };
            match self.take(&mut stream, number, &call, reply).await {
                Step::Next => {}
                Step::End(end) => return Ended::With(end),
                Step::Refused(kind, retry_after) => return Ended::Refused(sent, kind, retry_after),
                Step::Failed(kind) if stream.next() == 0 && self.request.idempotent => {
                    return Ended::Lost(sent, kind);
                }
                Step::Failed(kind) => return Ended::With(self.failed(kind)),
            }
        }
    }

    /// Judges a reply and hands a piece of the answer over.
    async fn take(
        &mut self,
        stream: &mut Stream,
        attempt: WireAttempt,
        call: &Call,
        reply: Reply,
    ) -> Step {
        match (stream.judge(&reply), reply) {
            (Verdict::Deliver, Reply::Chunk { incarnation, data, .. }) => {
                stream.measure(&self.daemon, &self.request);
                let runner = call.runner().clone();
                let position = Position { runner, incarnation, attempt, offset: stream.next() };
                self.permit.keep(&data);
                let _ = self.output.send(Output::Chunk(Chunk { position, data })).await;
                Step::Next
            }
            (Verdict::Complete, Reply::Final { status, content_type, finish_reason, .. }) => {
                let outcome = Outcome::Done { tokens: Tokens::new(stream.next()) };
                Step::End(End { outcome, status, content_type, finish_reason })
            }
            (Verdict::Broken, _) => Step::Failed(error::Kind::BackendFailed),
            (_, Reply::Refused { kind, retry_after }) => Step::Refused(kind, retry_after),
            (_, Reply::Failed { kind, .. }) => Step::Failed(kind),
            _ => Step::Next,
        }
    }

    /// Notes a decision about the request.
    fn note(&self, decision: &str) {
        self.daemon.note(self.request.id, decision);
    }

    /// Ends an attempt whose link was lost.
    fn lost(&self, sent: Attempt<Sent>, stream: &Stream) -> Ended {
        if stream.next() == 0 {
            return Ended::Lost(sent, error::Kind::RunnerLost);
        }
        Ended::With(self.failed(error::Kind::RunnerLost))
    }

    /// Returns the outcome of a request that started and failed.
    fn failed(&self, kind: error::Kind) -> End {
        if self.request.idempotent {
            return Outcome::Failed(kind).into();
        }
        Outcome::Unknown(kind).into()
    }

    /// Returns the outcome of a request whose deadline passed while a runner had it.
    fn out_of_time(&self, stream: &Stream) -> End {
        let kind = error::Kind::DeadlineExceeded;
        if stream.next() > 0 && self.request.idempotent {
            return Outcome::Failed(kind).into();
        }
        Outcome::Unknown(kind).into()
    }
}

/// What follows from a reply.
enum Step {
    Next,
    End(End),
    Refused(error::Kind, Option<Duration>),
    Failed(error::Kind),
}

/// Returns "not run" when the attempt proves it, else that nobody knows.
pub(super) fn not_run(
    attempt: Attempt<Unsent>,
    kind: error::Kind,
    retry_after: Option<Duration>,
) -> End {
    match attempt.not_started() {
        Some(proof) => Outcome::not_run(proof, kind, retry_after).into(),
        None => Outcome::Unknown(kind).into(),
    }
}
