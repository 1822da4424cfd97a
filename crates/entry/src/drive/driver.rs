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
use crate::drive::run::Conclusion;
use crate::request::Admitted;

/// Longest pause before a suspect request asks again for an engine that runs no other suspect.
const MAX_SUSPECT_PAUSE_MS: u64 = 200;

/// Runs the attempts of one request and sends its answer to the caller.
#[derive(Debug)]
pub struct Driver {
    pub(super) daemon: Daemon,
    pub(super) request: Admitted,
    pub(super) output: mpsc::Sender<Output>,
    pub(super) permit: Permit,
    pub(super) replay: Replay,
    pub(super) last_chunk_at: Option<Moment>,
    tried_runners: Vec<runner::Id>,
}

impl Driver {
    /// Creates a driver that sends the answer of `request` to `output`.
    pub fn new(daemon: Daemon, request: Admitted, output: mpsc::Sender<Output>) -> Self {
        let permit = Permit::default();
        let replay = Replay::default();
        Self {
            daemon,
            request,
            output,
            permit,
            replay,
            last_chunk_at: None,
            tried_runners: Vec::new(),
        }
    }

    /// Runs attempts until the request has its outcome, and sends the outcome to `output`.
    pub async fn run(mut self) {
        let span = self.request.trace.span("entry.request", self.request.id);
        self.request.trace = self.request.trace.within(&span);
        self.daemon.recorder().metrics().request_admitted();
        self.note(&format!(
            "admitted for {} with {}, {} ms left",
            self.request.service,
            self.request.prompt_tokens,
            self.request.deadline.remaining(self.daemon.now()).as_millis()
        ));
        let end = match self.claim_key().await {
            None => self.run_attempts().await,
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
        self.permit.finish(self.daemon.claims(), &end);
    }

    /// Claims the idempotency key of a non-idempotent request.
    ///
    /// Returns the request's end if it must not run, for example because an earlier call used the
    /// key.
    async fn claim_key(&mut self) -> Option<End> {
        if self.request.idempotent {
            return None;
        }
        let unsent = Attempt::first(self.request.id);
        let Some(key) = self.request.idempotency_key.clone() else {
            return Some(not_run_or_unknown(unsent, error::Kind::MissingKey, None));
        };
        let claims = self.daemon.claims();
        let asked_at = self.daemon.now();
        let answer = claims.claim(key, self.request.fingerprint, self.request.deadline).await;
        let waited = self.daemon.now().since(asked_at).as_millis();
        self.note(&format!("claim: {answer}, after {waited} ms"));
        match Repeat::from_answer(answer, unsent) {
            Repeat::First(claim) => {
                self.permit = Permit::from_claim(claim);
                None
            }
            Repeat::Duplicate(data, end) => {
                if let Some(data) = data {
                    let position = Position::for_recorded_answer(self.request.id);
                    let _ = self.output.send(Output::Chunk(Chunk { position, data })).await;
                }
                Some(end)
            }
        }
    }

    /// Runs attempts one after the other until one ends the request or no retry is allowed.
    async fn run_attempts(&mut self) -> End {
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
            let footprint = self.request.prompt_tokens.saturating_add(self.request.max_tokens);
            let routes = self.daemon.runners().routes();
            let result = if routes.needs_several_engines(&self.request.service, footprint) {
                self.run_on_several_runners(attempt).await
            } else {
                self.run_on_one_runner(attempt, suspect, reason).await
            };
            let conclusion = match result {
                Ok(conclusion) => conclusion,
                Err(end) => return end,
            };
            let decision = match conclusion {
                Conclusion::Ended(end) => return self.record_success(end, suspect),
                Conclusion::Refused(sent, kind, retry_after) => {
                    self.note(&format!("the runner refused: {kind}"));
                    self.daemon.recorder().metrics().count_retry();
                    reason = (kind, retry_after);
                    let refused = sent.refuse();
                    self.permit.revert_start(&refused);
                    attempt = refused.next_attempt();
                    if suspect && kind == error::Kind::Overloaded {
                        self.wait_for_free_engine().await;
                        continue;
                    }
                    plan.after_refusal(self.daemon.now(), self.request.deadline)
                }
                Conclusion::Lost(_, kind) if !self.request.idempotent => {
                    return Outcome::Unknown(kind).into();
                }
                Conclusion::Lost(sent, kind) => {
                    self.note(&format!("the attempt was lost: {kind}"));
                    self.daemon.recorder().metrics().count_retry();
                    reason = (kind, None);
                    attempt = sent.next_attempt();
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

    /// Chooses a runner and runs an attempt on it. `reason` is the error to report if there is no
    /// runner to choose.
    ///
    /// # Errors
    ///
    /// Returns the request's end if there is no runner to choose, or if the claim on its key
    /// permits no start.
    async fn run_on_one_runner(
        &mut self,
        attempt: Attempt<Unsent>,
        suspect: bool,
        reason: (error::Kind, Option<Duration>),
    ) -> Result<Conclusion, End> {
        let now = self.daemon.now();
        let chosen = self.daemon.runners().choose(&self.request, &self.tried_runners, now);
        let Some((call, why)) = chosen else {
            return Err(self.give_up(attempt, reason.0, reason.1));
        };
        let runner = call.runner().clone();
        self.note(&format!("chose runner {runner}: {why}"));
        self.tried_runners.push(runner.clone());
        if !self.permit.start(self.daemon.claims()) {
            return Err(self.give_up(attempt, error::Kind::DeadlineExpired, None));
        }
        let conclusion = self.run_attempt(attempt, call, suspect).await;
        self.daemon.runners().routes().record_finished(&self.request.service, &runner);
        Ok(conclusion)
    }

    /// Reserves memory on several engines and runs an attempt on them.
    ///
    /// # Errors
    ///
    /// Returns the request's end if the memory cannot be reserved, or if the claim on its key
    /// permits no start.
    async fn run_on_several_runners(
        &mut self,
        attempt: Attempt<Unsent>,
    ) -> Result<Conclusion, End> {
        let wire_attempt = WireAttempt { request: attempt.request(), number: attempt.number() };
        let (allocation, parts) = match self.reserve_memory(wire_attempt).await {
            Ok(reserved) => reserved,
            Err((kind, retry_after)) => return Err(self.give_up(attempt, kind, retry_after)),
        };
        if !self.permit.start(self.daemon.claims()) {
            return Err(self.give_up(attempt, error::Kind::DeadlineExpired, None));
        }
        Ok(self.run_segmented_attempt(attempt, allocation, &parts).await)
    }

    /// Adds a line to the request's history, which `kumquattiller explain` prints.
    pub(super) fn note(&self, decision: &str) {
        self.daemon.note(self.request.id, decision);
    }

    /// Waits for a random time, in which an engine may finish its suspect request, and makes all
    /// runners candidates again.
    async fn wait_for_free_engine(&mut self) {
        let pause = Duration::from_millis(rand::random_range(0..=MAX_SUSPECT_PAUSE_MS));
        sleep(pause.min(self.request.deadline.remaining(self.daemon.now()))).await;
        self.tried_runners.clear();
    }

    /// Credits the retry budget if the request succeeded, and no longer treats it as a suspect.
    fn record_success(&self, end: End, suspect: bool) -> End {
        if matches!(end.outcome, Outcome::Done { .. }) {
            self.daemon.retries().deposit();
            if suspect {
                self.daemon.suspects().clear(self.request.fingerprint);
            }
        }
        end
    }

    /// Returns the end of a request that gets no further attempt: failed if the caller already has
    /// a part of the answer.
    fn give_up(
        &self,
        attempt: Attempt<Unsent>,
        kind: error::Kind,
        retry_after: Option<Duration>,
    ) -> End {
        if self.replay.is_empty() {
            return not_run_or_unknown(attempt, kind, retry_after);
        }
        Outcome::Failed(kind).into()
    }
}

/// Returns "not run" if `attempt` proves that no runner started the request, else "unknown".
pub(super) fn not_run_or_unknown(
    attempt: Attempt<Unsent>,
    kind: error::Kind,
    retry_after: Option<Duration>,
) -> End {
    match attempt.not_started() {
        Some(proof) => Outcome::not_run(proof, kind, retry_after).into(),
        None => Outcome::Unknown(kind).into(),
    }
}
