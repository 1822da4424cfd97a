//! Handles starts on a link: admits them, collects their bodies and creates their jobs.

use std::sync::Arc;
use std::time::Duration;

use kumquattiller_base::account;
use kumquattiller_base::error;
use kumquattiller_base::request;
use kumquattiller_base::service;
use kumquattiller_base::size::Tokens;
use kumquattiller_memory::Owner;
use kumquattiller_memory::reservation;
use kumquattiller_routing::admission::Item;
use kumquattiller_routing::admission::Refusal;
use kumquattiller_wire::Attempt;
use kumquattiller_wire::Body;
use kumquattiller_wire::Error;
use kumquattiller_wire::link;

use crate::gate::Permit;
use crate::job::Job;
use crate::link::frames;
use crate::link::incoming::Incoming;
use crate::link::pending::CompleteStart;
use crate::link::session::Session;
use crate::memory::Allocation;
use crate::work;

/// Retry delay for a suspect that was refused because another suspect runs on the engine.
const SUSPECT_RETRY_AFTER: Duration = Duration::from_millis(200);

impl Session {
    /// Admits or refuses a start; a repeated start subscribes to the existing job.
    pub(super) async fn start(&mut self, start: link::Start) -> Result<(), Error> {
        let attempt = Attempt::from_field(start.attempt)?;
        if let Some(job) = self.process.jobs().get(attempt) {
            self.subscribe(job, 0);
            return Ok(());
        }
        match self.admit(&start) {
            Ok(permit) => {
                self.incoming.insert(attempt, Incoming::new(start, permit));
                self.run_if_complete(attempt).await
            }
            Err(refusal) => self.refuse(attempt, refusal).await,
        }
    }

    /// Refuses an attempt that started nothing, and records the refusal.
    async fn refuse(&self, attempt: Attempt, refusal: Refusal) -> Result<(), Error> {
        let Refusal { kind, retry_after } = refusal;
        let decision = format!("the runner refused attempt {}: {kind}", attempt.number);
        let recorder = self.process.recorder();
        recorder.metrics().count_error(kind);
        recorder.record_decision(self.process.now(), attempt.request, &decision);
        let load = self.process.load();
        self.send(frames::refused(attempt, kind, Some(retry_after), load)).await
    }

    /// Requests a permit for a start, or returns why the start is refused.
    fn admit(&self, start: &link::Start) -> Result<Permit, Refusal> {
        if self.process.is_draining() {
            return Err(error::Kind::Leaving.into());
        }
        if start.left_ms == 0 {
            return Err(error::Kind::DeadlineExpired.into());
        }
        if start.incarnation != 0 && start.incarnation != self.process.identity().incarnation {
            return Err(error::Kind::NoRunner.into());
        }
        if self.process.settings().backend.kind == service::Kind::Plain || start.reservation != 0 {
            return Ok(Permit::ungated());
        }
        self.process.gate().request_permit(Item {
            request: request::Id::from_u128(0),
            prompt: Tokens::new(start.prompt_tokens),
            max_response: Tokens::new(start.max_tokens),
            rank: account::Rank::new(start.rank.min(u32::from(u8::MAX)) as u8),
            deadline: self.process.now() + Duration::from_millis(start.left_ms),
            is_reservation: false,
        })
    }

    /// Allocates engine memory for the prompt and the longest response of a start.
    fn allocate(&self, start: &link::Start) -> Result<Allocation, error::Kind> {
        let tokens = Tokens::new(start.prompt_tokens.saturating_add(start.max_tokens));
        if self.process.settings().backend.kind == service::Kind::Plain {
            return Ok(Allocation::empty());
        }
        let owner = self.owner.clone().ok_or(error::Kind::Internal)?;
        let attempt = Attempt::from_field(start.attempt).map_err(|_| error::Kind::Internal)?;
        let item = work::memory_item(attempt);
        let owner = match start.reservation {
            0 => Owner::Daemon(owner),
            id => Owner::Reservation(reservation::Id::new(id)),
        };
        let allocation = self.process.memory().allocate(item, owner, tokens);
        allocation.map_err(|_| error::Kind::MemoryFull)
    }

    /// Appends a part of the body of a start or a prefill.
    pub(super) async fn append_body_part(&mut self, part: &link::Body) -> Result<(), Error> {
        let attempt = Attempt::from_field(part.attempt)?;
        if self.segments.contains(attempt) {
            return self.segments.append(attempt, part);
        }
        let Some(incoming) = self.incoming.get_mut(&attempt) else {
            return Ok(());
        };
        if !incoming.append(part) {
            self.incoming.remove(&attempt);
            let load = self.process.load();
            let kind = error::Kind::MalformedBody;
            return self.send(frames::refused(attempt, kind, None, load)).await;
        }
        self.run_if_complete(attempt).await
    }

    /// Accepts a start whose body is complete, or keeps it until its permit is granted.
    async fn run_if_complete(&mut self, attempt: Attempt) -> Result<(), Error> {
        if !self.incoming.get(&attempt).is_some_and(Incoming::is_complete) {
            return Ok(());
        }
        let Some(incoming) = self.incoming.remove(&attempt) else {
            return Ok(());
        };
        let (start, body, permit) = incoming.into_parts();
        let task_guard = self.process.track_task();
        let complete = CompleteStart { attempt, start, body, permit, task_guard };
        if complete.permit.is_granted() {
            return self.accept(complete).await;
        }
        let note = "the runner holds the attempt until there is room";
        self.process.recorder().record_decision(self.process.now(), attempt.request, note);
        self.pending.add(complete, self.process.draining().clone());
        Ok(())
    }

    /// Accepts or refuses a start that waited for its permit.
    pub(super) async fn handle_decision(
        &mut self,
        complete: CompleteStart,
        decision: Result<(), Refusal>,
    ) -> Result<(), Error> {
        match decision {
            Ok(()) => self.accept(complete).await,
            Err(refusal) => self.refuse(complete.attempt, refusal).await,
        }
    }

    /// Creates and runs the job of a start, and tells the entry daemon that it is accepted.
    async fn accept(&mut self, complete: CompleteStart) -> Result<(), Error> {
        let CompleteStart { attempt, mut start, body, permit, task_guard } = complete;
        start.priority = permit.priority();
        let allocation = match self.allocate(&start) {
            Ok(allocation) => allocation,
            Err(kind) => return self.refuse(attempt, kind.into()).await,
        };
        if !self.process.suspects().admit_attempt(attempt, &start) {
            let load = self.process.load();
            let kind = error::Kind::Overloaded;
            return self
                .send(frames::refused(attempt, kind, Some(SUSPECT_RETRY_AFTER), load))
                .await;
        }
        let (job, added) = self.process.jobs().add(Job::new(attempt, start));
        let accepted = link::Accepted {
            attempt: Some(attempt.into()),
            incarnation: self.process.identity().incarnation,
            load: Some(self.process.load().into()),
        };
        if added {
            let work = work::run(self.process.clone(), Arc::clone(&job), body, allocation, permit);
            self.process.spawn(work);
        }
        drop(task_guard);
        self.send(Body::Accepted(accepted)).await?;
        self.subscribe(job, 0);
        Ok(())
    }
}
