use std::time::Duration;

use kumquattiller_base::attempt::Attempt;
use kumquattiller_base::attempt::Unsent;
use kumquattiller_base::error;
use kumquattiller_base::outcome::Outcome;
use kumquattiller_base::runner;
use kumquattiller_base::time::Moment;
use kumquattiller_recovery::retry::Decision;
use kumquattiller_recovery::retry::Plan;
use kumquattiller_recovery::stream::Replay;
use kumquattiller_recovery::suspect::Standing;
use kumquattiller_wire::Attempt as WireAttempt;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::Daemon;
use crate::drive::Chunk;
use crate::drive::End;
use crate::drive::Output;
use crate::drive::Position;
use crate::drive::permit::Permit;
use crate::drive::repeat::Repeat;
use crate::drive::run::Ended;
use crate::request::Admitted;

/// Upper end of the pause of a suspect that waits for an engine without another one.
const MAX_SUSPECT_PAUSE_MS: u64 = 200;

/// Runs the attempts of one request.
#[derive(Debug)]
pub struct Driver {
    pub(super) daemon: Daemon,
    pub(super) request: Admitted,
    pub(super) output: mpsc::Sender<Output>,
    pub(super) permit: Permit,
    pub(super) replay: Replay,
    pub(super) last_piece: Option<Moment>,
    tried: Vec<runner::Id>,
}

impl Driver {
    /// Prepares to run a request whose answer goes to `output`.
    pub fn new(daemon: Daemon, request: Admitted, output: mpsc::Sender<Output>) -> Self {
        let permit = Permit::default();
        let replay = Replay::default();
        Self { daemon, request, output, permit, replay, last_piece: None, tried: Vec::new() }
    }

    /// Runs attempts until the request has its outcome, and hands it over.
    pub async fn run(mut self) {
        let span = self.request.trace.span("entry.request", self.request.id);
        self.request.trace = self.request.trace.within(&span);
        self.daemon.recorder().metrics().request_admitted();
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
        self.note(&format!("ended: {}", end.outcome));
        self.daemon.recorder().metrics().request_ended();
        self.daemon.recorder().metrics().count_outcome(&end.outcome);
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
        let asked = self.daemon.now();
        let answer = claims.claim(key, self.request.fingerprint, self.request.deadline).await;
        let waited = self.daemon.now().since(asked).as_millis();
        self.note(&format!("claim: {answer}, after {waited} ms"));
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
        let mut plan = Plan::default();
        let mut reason = (error::Kind::NoRunner, None);
        loop {
            if self.request.deadline.is_over(self.daemon.now()) {
                return self.give_up(attempt, error::Kind::DeadlineExpired, None);
            }
            let standing =
                self.daemon.suspects().standing(self.request.fingerprint, self.daemon.now());
            if let Standing::Refused { left } = standing {
                return self.give_up(attempt, error::Kind::CrashesBackends, Some(left));
            }
            let suspect = standing == Standing::Suspect;
            if suspect {
                self.note("it ran when an engine died; it runs apart from other such requests");
            }
            let footprint = self.request.prompt.saturating_add(self.request.max_tokens);
            let routes = self.daemon.runners().routes();
            let run = if routes.needs_several(&self.request.service, footprint) {
                self.run_on_several(attempt).await
            } else {
                self.run_on_one(attempt, suspect, reason).await
            };
            let ended = match run {
                Ok(ended) => ended,
                Err(end) => return end,
            };
            let decision = match ended {
                Ended::With(end) => return self.settle(end, suspect),
                Ended::Refused(sent, kind, retry_after) => {
                    self.note(&format!("the runner refused: {kind}"));
                    self.daemon.recorder().metrics().count_retry();
                    reason = (kind, retry_after);
                    let refused = sent.refuse();
                    self.permit.refused(&refused);
                    attempt = refused.again();
                    if suspect && kind == error::Kind::Overloaded {
                        self.wait_for_engine().await;
                        continue;
                    }
                    plan.after_refusal(self.daemon.now(), self.request.deadline)
                }
                Ended::Lost(_, kind) if !self.request.idempotent => {
                    return Outcome::Unknown(kind).into();
                }
                Ended::Lost(sent, kind) => {
                    self.note(&format!("the attempt was lost: {kind}"));
                    self.daemon.recorder().metrics().count_retry();
                    reason = (kind, None);
                    attempt = sent.again();
                    let now = self.daemon.now();
                    let mut budget = self.daemon.retries();
                    plan.after_loss(now, self.request.deadline, &mut budget, &mut rand::rng())
                }
            };
            let Decision::Retry { after } = decision else {
                self.note(&format!("no further attempt: {decision}"));
                return self.give_up(attempt, reason.0, reason.1);
            };
            sleep(after).await;
        }
    }

    /// Chooses a runner and runs an attempt there; returns the end when there is none.
    async fn run_on_one(
        &mut self,
        attempt: Attempt<Unsent>,
        suspect: bool,
        reason: (error::Kind, Option<Duration>),
    ) -> Result<Ended, End> {
        let now = self.daemon.now();
        let chosen = self.daemon.runners().choose(&self.request, &self.tried, now);
        let Some((call, why)) = chosen else {
            return Err(self.give_up(attempt, reason.0, reason.1));
        };
        let runner = call.runner().clone();
        self.note(&format!("chose runner {runner}: {why}"));
        self.tried.push(runner.clone());
        if !self.permit.start(self.daemon.claims()) {
            return Err(self.give_up(attempt, error::Kind::DeadlineExpired, None));
        }
        let ended = self.attempt(attempt, call, suspect).await;
        self.daemon.runners().routes().finished(&self.request.service, &runner);
        Ok(ended)
    }

    /// Sets memory aside on several engines and runs an attempt there; returns the end when the
    /// memory is not to be had.
    async fn run_on_several(&mut self, attempt: Attempt<Unsent>) -> Result<Ended, End> {
        let number = WireAttempt { request: attempt.request(), number: attempt.number() };
        let (holding, parts) = match self.reserve(number).await {
            Ok(reserved) => reserved,
            Err((kind, retry_after)) => return Err(self.give_up(attempt, kind, retry_after)),
        };
        if !self.permit.start(self.daemon.claims()) {
            return Err(self.give_up(attempt, error::Kind::DeadlineExpired, None));
        }
        Ok(self.attempt_on_several(attempt, holding, &parts).await)
    }

    /// Notes a decision about the request.
    pub(super) fn note(&self, decision: &str) {
        self.daemon.note(self.request.id, decision);
    }

    /// Waits until an engine may be without another suspect, and considers all of them again.
    async fn wait_for_engine(&mut self) {
        let pause = Duration::from_millis(rand::random_range(0..=MAX_SUSPECT_PAUSE_MS));
        sleep(pause.min(self.request.deadline.left(self.daemon.now()))).await;
        self.tried.clear();
    }

    /// Notes what the end of an attempt says about the fleet and the request.
    fn settle(&self, end: End, suspect: bool) -> End {
        if matches!(end.outcome, Outcome::Done { .. }) {
            self.daemon.retries().deposit();
            if suspect {
                self.daemon.suspects().clear(self.request.fingerprint);
            }
        }
        end
    }

    /// Returns the outcome of a request that gets no further attempt.
    fn give_up(
        &self,
        attempt: Attempt<Unsent>,
        kind: error::Kind,
        retry_after: Option<Duration>,
    ) -> End {
        if self.replay.is_empty() {
            return not_run(attempt, kind, retry_after);
        }
        Outcome::Failed(kind).into()
    }
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
