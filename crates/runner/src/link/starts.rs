//! Starts on a link: admission, bodies, and the jobs that they become.

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

use crate::admission::Promise;
use crate::gate::Place;
use crate::job::Job;
use crate::link::frames;
use crate::link::held::Complete;
use crate::link::incoming::Incoming;
use crate::link::session::Session;
use crate::work;

/// When a suspect is to be tried again that was refused for another one's sake.
const SUSPECT_PAUSE: Duration = Duration::from_millis(200);
impl Session {
    /// Admits or refuses a start.
    pub(super) async fn start(&mut self, start: link::Start) -> Result<(), Error> {
        let attempt = Attempt::from_field(start.attempt)?;
        if let Some(job) = self.process.jobs().get(attempt) {
            self.subscribe(job, 0);
            return Ok(());
        }
        match self.admit(&start) {
            Ok(place) => {
                self.incoming.insert(attempt, Incoming::new(start, place));
                self.run_if_complete(attempt).await
            }
            Err(refusal) => self.refuse(attempt, refusal).await,
        }
    }

    /// Refuses an attempt of which nothing was started.
    async fn refuse(&self, attempt: Attempt, refusal: Refusal) -> Result<(), Error> {
        let Refusal { kind, retry_after } = refusal;
        let decision = format!("the runner refused attempt {}: {kind}", attempt.number);
        let recorder = self.process.recorder();
        recorder.metrics().count_error(kind);
        recorder.record_decision(self.process.now(), attempt.request, &decision);
        let load = self.process.load();
        self.send(frames::refused(attempt, kind, Some(retry_after), load)).await
    }

    /// Gives a start its place at the gate, or tells why it is refused.
    fn admit(&self, start: &link::Start) -> Result<Place, Refusal> {
        if self.process.is_leaving() {
            return Err(error::Kind::Leaving.into());
        }
        if start.left_ms == 0 {
            return Err(error::Kind::DeadlineExpired.into());
        }
        if start.incarnation != 0 && start.incarnation != self.process.identity().incarnation {
            return Err(error::Kind::NoRunner.into());
        }
        if self.process.settings().backend.kind == service::Kind::Plain || start.reservation != 0 {
            return Ok(Place::free());
        }
        self.process.gate().enter(Item {
            request: request::Id::from_u128(0),
            prompt: Tokens::new(start.prompt_tokens),
            answer: Tokens::new(start.max_tokens),
            rank: account::Rank::new(start.rank.min(u32::from(u8::MAX)) as u8),
            deadline: self.process.now() + Duration::from_millis(start.left_ms),
            is_reservation: false,
        })
    }

    /// Promises memory for a start that may begin.
    fn promise(&self, start: &link::Start) -> Result<Promise, error::Kind> {
        let tokens = Tokens::new(start.prompt_tokens.saturating_add(start.max_tokens));
        if self.process.settings().backend.kind == service::Kind::Plain {
            return Ok(Promise::empty());
        }
        let owner = self.owner.clone().ok_or(error::Kind::Internal)?;
        let attempt = Attempt::from_field(start.attempt).map_err(|_| error::Kind::Internal)?;
        let item = work::item_of(attempt);
        let owner = match start.reservation {
            0 => Owner::Daemon(owner),
            id => Owner::Reservation(reservation::Id::new(id)),
        };
        let promise = self.process.memory().promise(item, owner, tokens);
        promise.map_err(|_| error::Kind::MemoryFull)
    }

    /// Appends a part of a body.
    pub(super) async fn body_part(&mut self, part: &link::Body) -> Result<(), Error> {
        let attempt = Attempt::from_field(part.attempt)?;
        if self.segments.has(attempt) {
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

    /// Runs a start whose body is complete.
    async fn run_if_complete(&mut self, attempt: Attempt) -> Result<(), Error> {
        if !self.incoming.get(&attempt).is_some_and(Incoming::is_complete) {
            return Ok(());
        }
        let Some(incoming) = self.incoming.remove(&attempt) else {
            return Ok(());
        };
        let (start, body, place) = incoming.into_parts();
        let tracked = self.process.track();
        let complete = Complete { attempt, start, body, place, tracked };
        if complete.place.is_ready() {
            return self.accept(complete).await;
        }
        let note = "the runner holds the attempt until there is room";
        self.process.recorder().record_decision(self.process.now(), attempt.request, note);
        self.held.add(complete, self.process.leaving().clone());
        Ok(())
    }

    /// Goes on with an attempt that was held.
    pub(super) async fn decided(
        &mut self,
        complete: Complete,
        decision: Result<(), Refusal>,
    ) -> Result<(), Error> {
        match decision {
            Ok(()) => self.accept(complete).await,
            Err(refusal) => self.refuse(complete.attempt, refusal).await,
        }
    }

    /// Creates the job, tells the entry daemon and starts the work.
    async fn accept(&mut self, complete: Complete) -> Result<(), Error> {
        let Complete { attempt, mut start, body, place, tracked } = complete;
        start.priority = place.priority();
        let promise = match self.promise(&start) {
            Ok(promise) => promise,
            Err(kind) => return self.refuse(attempt, kind.into()).await,
        };
        if !self.process.suspects().enter(attempt, &start) {
            let load = self.process.load();
            let kind = error::Kind::Overloaded;
            return self.send(frames::refused(attempt, kind, Some(SUSPECT_PAUSE), load)).await;
        }
        let (job, added) = self.process.jobs().add(Job::new(attempt, start));
        let accepted = link::Accepted {
            attempt: Some(attempt.into()),
            incarnation: self.process.identity().incarnation,
            load: Some(self.process.load().into()),
        };
        if added {
            let work = work::run(self.process.clone(), Arc::clone(&job), body, promise, place);
            self.process.spawn(work);
        }
        drop(tracked);
        self.send(Body::Accepted(accepted)).await?;
        self.subscribe(job, 0);
        Ok(())
    }
}
