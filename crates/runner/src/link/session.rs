use std::collections::HashMap;
use std::sync::Arc;

use kumquattiller_base::error;
use kumquattiller_base::request;
use kumquattiller_link::Identity;
use kumquattiller_link::Receiver;
use kumquattiller_link::Sender;
use kumquattiller_memory::Daemon;
use kumquattiller_wire::Attempt;
use kumquattiller_wire::Body;
use kumquattiller_wire::Error;
use kumquattiller_wire::link;

use crate::Process;
use crate::job::Job;
use crate::link::frames;
use crate::link::held::Held;
use crate::link::incoming::Incoming;
use crate::link::segments;
use crate::link::segments::Segments;
use crate::link::subscriptions::Subscriptions;
use crate::work;

/// Role of entry daemons on a link.
const ENTRY_ROLE: &str = "entry";

/// One link from an entry daemon.
#[derive(Debug)]
pub struct Session {
    pub(super) process: Process,
    pub(super) sender: Sender,
    pub(super) peer: Identity,
    /// The peer as an owner of engine memory.
    pub(super) owner: Option<Daemon>,
    pub(super) incoming: HashMap<Attempt, Incoming>,
    pub(super) held: Held,
    pub(super) segments: Segments,
    pub(super) subscriptions: Subscriptions,
}

impl Session {
    /// Begins a session on an open link.
    pub fn new(process: Process, sender: Sender, peer: Identity) -> Self {
        let subscriptions = Subscriptions::new(process.clone(), sender.clone());
        let id = peer.name.parse().ok();
        let incarnation = peer.incarnation.into();
        let owner = id.map(|id| Daemon { id, incarnation });
        let segments = Segments::new(process.clone(), sender.clone());
        Self {
            process,
            sender,
            peer,
            owner,
            incoming: HashMap::new(),
            held: Held::default(),
            segments,
            subscriptions,
        }
    }

    /// Serves frames until the link closes.
    pub async fn run(mut self, receiver: Receiver) {
        let name = self.peer.name.clone();
        let spread = (self.peer.role == ENTRY_ROLE)
            .then(|| self.process.spread().add_link(&name, self.sender.clone()));
        self.receive(receiver).await;
        if let Some(spread) = spread {
            self.process.spread().remove_link(spread);
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
            self.process.spread().handle_frame(&self.peer.name, &body, self.process.now())?
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
            Body::Reserve(frame) => {
                let reserved = segments::reserve(&self.process, self.owner.as_ref(), &frame);
                self.send(reserved).await
            }
            Body::Release(frame) => {
                segments::release(&self.process, &frame);
                Ok(())
            }
            Body::Prefill(prefill) => self.segments.open(prefill),
            Body::Order(order) => {
                let result = self.process.orders().take(&order);
                self.send(Body::OrderResult(result)).await
            }
            Body::Explain(question) => self.explain(question).await,
            _ => Err(Error::Invalid("body")),
        }
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
            self.process.memory().table().renew_daemon(owner, self.process.now());
        }
    }

    pub(super) fn subscribe(&mut self, job: Arc<Job>, offset: u64) {
        if let Some(owner) = &self.owner {
            let item = work::item_of(job.attempt());
            // An item that has ended needs no owner.
            let _ = self.process.memory().table().claim(&item, owner, self.process.now());
        }
        self.subscriptions.add(job, offset);
    }

    pub(super) async fn send(&self, body: Body) -> Result<(), Error> {
        self.sender.send(body).await.map_err(|_| Error::Io(std::io::ErrorKind::BrokenPipe.into()))
    }
}
