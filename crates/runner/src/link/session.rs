use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use kumquattiller_base::account;
use kumquattiller_base::error;
use kumquattiller_base::request;
use kumquattiller_base::service;
use kumquattiller_base::size::Tokens;
use kumquattiller_link::Identity;
use kumquattiller_link::Receiver;
use kumquattiller_link::Sender;
use kumquattiller_memory::Daemon;
use kumquattiller_memory::Owner;
use kumquattiller_routing::admission::Item;
use kumquattiller_routing::admission::Refusal;
use kumquattiller_wire::Attempt;
use kumquattiller_wire::Body;
use kumquattiller_wire::Error;
use kumquattiller_wire::link;

use crate::Process;
use crate::admission::Promise;
use crate::gate::Place;
use crate::job::Job;
use crate::link::frames;
use crate::link::held::Complete;
use crate::link::held::Held;
use crate::link::incoming::Incoming;
use crate::link::subscriptions::Subscriptions;
use crate::work;

/// When a suspect is to be tried again that was refused for another one's sake.
const SUSPECT_PAUSE: Duration = Duration::from_millis(200);
/// Role of entry daemons on a link.
const ENTRY_ROLE: &str = "entry";

/// One link from an entry daemon.
#[derive(Debug)]
pub struct Session {
    process: Process,
    sender: Sender,
    peer: Identity,
    /// The peer as an owner of engine memory.
    owner: Option<Daemon>,
    incoming: HashMap<Attempt, Incoming>,
    held: Held,
    subscriptions: Subscriptions,
}

impl Session {
    /// Begins a session on an open link.
    pub fn new(process: Process, sender: Sender, peer: Identity) -> Self {
        let subscriptions = Subscriptions::new(process.clone(), sender.clone());
        let id = peer.name.parse().ok();
        let incarnation = peer.incarnation.into();
        let owner = id.map(|id| Daemon { id, incarnation });
        let (incoming, held) = (HashMap::new(), Held::default());
        Self { process, sender, peer, owner, incoming, held, subscriptions }
    }

    /// Serves frames until the link closes.
    pub async fn run(mut self, receiver: Receiver) {
        let name = self.peer.name.clone();
        let spread = (self.peer.role == ENTRY_ROLE)
            .then(|| self.process.spread().connected(&name, self.sender.clone()));
        self.receive(receiver).await;
        if let Some(spread) = spread {
            self.process.spread().disconnected(spread);
        }
    }

    async fn receive(&mut self, mut receiver: Receiver) {
        loop {
            let received = tokio::select! {
                received = receiver.next() => received,
                (complete, decision) = self.held.next() => {
                    if let Err(error) = self.decided(complete, decision).await {
                        log::debug!(peer = self.peer.name.as_str(); "not answered: {error}");
                    }
                    continue;
                }
            };
            let body = match received {
                Ok(Some(body)) => body,
                Ok(None) => return,
                Err(error) => {
                    log::debug!(peer = self.peer.name.as_str(); "link failed: {error}");
                    return;
                }
            };
            if let Err(error) = self.serve(body).await {
                log::warn!(peer = self.peer.name.as_str(); "frame was dropped: {error}");
            }
        }
    }

    /// Serves one frame.
    async fn serve(&mut self, body: Body) -> Result<(), Error> {
        self.renew();
        if let Some(task) =
            self.process.spread().take(&self.peer.name, &body, self.process.now())?
        {
            self.process.finish_task(task);
            return Ok(());
        }
        match body {
            Body::Start(start) => self.start(start).await,
            Body::BodyPart(part) => self.body_part(&part).await,
            Body::Cancel(cancel) => self.cancel(cancel),
            Body::Resume(resume) => self.resume(&resume).await,
            Body::Heartbeat(heartbeat) => self.heartbeat(&heartbeat).await,
            Body::Leave(leave) => self.leave(&leave),
            Body::Explain(question) => self.explain(question).await,
            _ => Err(Error::Invalid("body")),
        }
    }

    /// Admits or refuses a start.
    async fn start(&mut self, start: link::Start) -> Result<(), Error> {
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
        recorder.metrics().refusal(kind);
        recorder.note(self.process.now(), attempt.request, &decision);
        let load = self.process.load();
        self.send(frames::refused(attempt, kind, Some(retry_after), load)).await
    }

    /// Gives a start its place at the gate, or tells why it is refused.
    fn admit(&self, start: &link::Start) -> Result<Place, Refusal> {
        if self.process.is_leaving() {
            return Err(refusal(error::Kind::Leaving));
        }
        if start.left_ms == 0 {
            return Err(refusal(error::Kind::DeadlineExpired));
        }
        if start.incarnation != 0 && start.incarnation != self.process.identity().incarnation {
            return Err(refusal(error::Kind::NoRunner));
        }
        if self.process.settings().backend.kind == service::Kind::Plain {
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
        let promise = self.process.memory().promise(item, Owner::Daemon(owner), tokens);
        promise.map_err(|_| error::Kind::MemoryFull)
    }

    /// Appends a part of a body.
    async fn body_part(&mut self, part: &link::Body) -> Result<(), Error> {
        let attempt = Attempt::from_field(part.attempt)?;
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
        let complete = Complete { attempt, start, body, place };
        if complete.place.is_ready() {
            return self.accept(complete).await;
        }
        let note = "the runner holds the attempt until there is room";
        self.process.recorder().note(self.process.now(), attempt.request, note);
        self.held.add(complete);
        Ok(())
    }

    /// Goes on with an attempt that was held.
    async fn decided(
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
        let Complete { attempt, mut start, body, place } = complete;
        start.priority = place.priority();
        let promise = match self.promise(&start) {
            Ok(promise) => promise,
            Err(kind) => return self.refuse(attempt, refusal(kind)).await,
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
        self.send(Body::Accepted(accepted)).await?;
        self.subscribe(Arc::clone(&job), 0);
        if added {
            self.process.spawn(work::run(self.process.clone(), job, body, promise, place));
        }
        Ok(())
    }

    /// Cancels an attempt, or stops copying its answer to this link.
    fn cancel(&mut self, cancel: link::Cancel) -> Result<(), Error> {
        let attempt = Attempt::from_field(cancel.attempt)?;
        self.incoming.remove(&attempt);
        self.held.remove(attempt);
        self.subscriptions.end(attempt);
        if let Some(job) = self.process.jobs().get(attempt).filter(|_| !cancel.detach) {
            job.cancel().cancel();
        }
        Ok(())
    }

    /// Continues an attempt that was started through another link.
    async fn resume(&mut self, resume: &link::Resume) -> Result<(), Error> {
        let attempt = Attempt::from_field(resume.attempt)?;
        let own = resume.incarnation == self.process.identity().incarnation;
        let job = self.process.jobs().get(attempt).filter(|job| {
            own && job.start().account == resume.account && resume.offset <= job.next()
        });
        match job {
            Some(job) => {
                self.subscribe(job, resume.offset);
                Ok(())
            }
            None => {
                let load = self.process.load();
                self.send(frames::refused(attempt, error::Kind::ResumeGone, None, load)).await
            }
        }
    }

    /// Answers with the decisions about a request.
    async fn explain(&self, question: link::Explain) -> Result<(), Error> {
        let id = question.request.map(request::Id::from).ok_or(Error::Missing("request"))?;
        let own = &self.process.settings().id;
        let lines = self.process.recorder().lines(self.process.now(), id);
        let lines = lines.iter().map(|line| format!("{own}: {line}")).collect();
        self.send(Body::Explained(link::Explained { request: Some(id.into()), lines })).await
    }

    /// Takes no new work when the word is about the own backend server.
    fn leave(&self, leave: &link::Leave) -> Result<(), Error> {
        let own = self.process.identity();
        let names_start = leave.incarnation == 0 || leave.incarnation == own.incarnation;
        if leave.runner != own.name || !names_start {
            return Err(Error::Invalid("runner"));
        }
        self.process.leave();
        Ok(())
    }

    /// Answers a heartbeat with the load.
    async fn heartbeat(&self, heartbeat: &link::Heartbeat) -> Result<(), Error> {
        if heartbeat.reply {
            return Ok(());
        }
        let reply = link::Heartbeat {
            config_version: self.process.config_version(),
            load: Some(self.process.load().into()),
            nonce: heartbeat.nonce,
            reply: true,
            ready: self.process.is_fresh(),
        };
        self.send(Body::Heartbeat(reply)).await
    }

    /// Notes a sign of life of the peer for the memory that it owns.
    fn renew(&self) {
        if let Some(owner) = &self.owner {
            self.process.memory().table().renew(owner, self.process.now());
        }
    }

    fn subscribe(&mut self, job: Arc<Job>, offset: u64) {
        if let Some(owner) = &self.owner {
            let item = work::item_of(job.attempt());
            // An item that has ended needs no owner.
            let _ = self.process.memory().table().claim(&item, owner, self.process.now());
        }
        self.subscriptions.add(job, offset);
    }

    async fn send(&self, body: Body) -> Result<(), Error> {
        self.sender.send(body).await.map_err(|_| Error::Io(std::io::ErrorKind::BrokenPipe.into()))
    }
}

/// Makes a refusal with the usual time to try again.
fn refusal(kind: error::Kind) -> Refusal {
    Refusal { kind, retry_after: kind.answer().retry_after.unwrap_or_default() }
}
