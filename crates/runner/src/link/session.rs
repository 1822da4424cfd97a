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
use crate::link::incoming::Incoming;
use crate::link::pending::Pending;
use crate::link::segments;
use crate::link::segments::Segments;
use crate::link::subscriptions::Subscriptions;
use crate::work;

/// Role with which entry daemons introduce themselves on links.
const ENTRY_ROLE: &str = "entry";

/// State of one link from an entry daemon.
#[derive(Debug)]
pub struct Session {
    pub(super) process: Process,
    pub(super) sender: Sender,
    pub(super) peer: Identity,
    /// The peer as an owner of engine memory; `None` if its name is not a valid daemon id.
    pub(super) owner: Option<Daemon>,
    pub(super) incoming: HashMap<Attempt, Incoming>,
    pub(super) pending: Pending,
    pub(super) segments: Segments,
    pub(super) subscriptions: Subscriptions,
}

impl Session {
    /// Creates the session of an open link.
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
            pending: Pending::default(),
            segments,
            subscriptions,
        }
    }

    /// Handles frames until the link closes.
    ///
    /// Configuration is distributed only over links from entry daemons.
    pub async fn run(mut self, receiver: Receiver) {
        let name = self.peer.name.clone();
        let spread = (self.peer.role == ENTRY_ROLE)
            .then(|| self.process.spread().add_link(&name, self.sender.clone()));
        let stopped = self.process.stopped().clone();
        let mut receiver = receiver;
        tokio::select! {
            () = self.handle_frames(&mut receiver) => {}
            () = stopped.cancelled() => self.close(receiver).await,
        }
        if let Some(spread) = spread {
            self.process.spread().remove_link(spread);
        }
    }

    /// Closes the link of a stopping process. Reads until the peer has closed its direction too: the
    /// system resets a connection that is closed with unread bytes, and the peer would lose frames
    /// that it has not read yet.
    async fn close(&self, mut receiver: Receiver) {
        self.sender.close();
        while let Ok(Some(_)) = receiver.next().await {}
    }

    async fn handle_frames(&mut self, receiver: &mut Receiver) {
        loop {
            let received = tokio::select! {
                received = receiver.next() => received,
                (complete, decision) = self.pending.next_decided() => {
                    if let Err(error) = self.handle_decision(complete, decision).await {
                        log::debug!(
                            peer = self.peer.name.as_str();
                            "failed to reply to a start: {error}"
                        );
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
            if let Err(error) = self.handle_frame(body).await {
                log::warn!(peer = self.peer.name.as_str(); "failed to handle a frame: {error}");
            }
        }
    }

    /// Handles one frame.
    async fn handle_frame(&mut self, body: Body) -> Result<(), Error> {
        self.renew_owner();
        if let Some(task) =
            self.process.spread().handle_frame(&self.peer.name, &body, self.process.now())?
        {
            self.process.apply_task(task);
            return Ok(());
        }
        match body {
            Body::Start(start) => self.start(start).await,
            Body::BodyPart(part) => self.append_body_part(&part).await,
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
            Body::Prefill(prefill) => self.segments.add(prefill),
            Body::Order(order) => {
                let result = self.process.orders().handle(&order);
                self.send(Body::OrderResult(result)).await
            }
            Body::Explain(question) => self.explain(question).await,
            _ => Err(Error::Invalid("body")),
        }
    }

    /// Cancels an attempt; with `detach`, only stops copying its response to this link.
    fn cancel(&mut self, cancel: link::Cancel) -> Result<(), Error> {
        let attempt = Attempt::from_field(cancel.attempt)?;
        self.incoming.remove(&attempt);
        self.pending.remove(attempt);
        self.subscriptions.remove(attempt);
        if let Some(job) = self.process.jobs().get(attempt).filter(|_| !cancel.detach) {
            job.cancellation().cancel();
        }
        Ok(())
    }

    /// Subscribes the link to an attempt that was started through another link.
    ///
    /// Refuses if the attempt belongs to another incarnation of the process or another client
    /// account, or if the offset lies beyond the response so far.
    async fn resume(&mut self, resume: &link::Resume) -> Result<(), Error> {
        let attempt = Attempt::from_field(resume.attempt)?;
        let same_incarnation = resume.incarnation == self.process.identity().incarnation;
        let job = self.process.jobs().get(attempt).filter(|job| {
            same_incarnation
                && job.start().account == resume.account
                && resume.offset <= job.next_offset()
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

    /// Replies with the recorded decisions about a request.
    async fn explain(&self, question: link::Explain) -> Result<(), Error> {
        let id = question.request.map(request::Id::from).ok_or(Error::Missing("request"))?;
        let own = &self.process.settings().id;
        let lines = self.process.recorder().lines(self.process.now(), id);
        let lines = lines.iter().map(|line| format!("{own}: {line}")).collect();
        self.send(Body::Explained(link::Explained { request: Some(id.into()), lines })).await
    }

    /// Starts to drain if the frame names this runner and, unless it is 0, this incarnation.
    fn leave(&self, leave: &link::Leave) -> Result<(), Error> {
        let own = self.process.identity();
        let matches_incarnation = leave.incarnation == 0 || leave.incarnation == own.incarnation;
        if leave.runner != own.name || !matches_incarnation {
            return Err(Error::Invalid("runner"));
        }
        self.process.drain();
        Ok(())
    }

    /// Replies to a heartbeat with the load; a heartbeat that is itself a reply is ignored.
    async fn heartbeat(&self, heartbeat: &link::Heartbeat) -> Result<(), Error> {
        if heartbeat.reply {
            return Ok(());
        }
        let reply = link::Heartbeat {
            config_version: self.process.config_version(),
            load: Some(self.process.load().into()),
            nonce: heartbeat.nonce,
            reply: true,
            ready: self.process.has_fresh_configuration(),
        };
        self.send(Body::Heartbeat(reply)).await
    }

    /// Renews the peer's ownership of engine memory, because it has just sent a frame.
    fn renew_owner(&self) {
        if let Some(owner) = &self.owner {
            self.process.memory().table().renew_daemon(owner, self.process.now());
        }
    }

    /// Copies a job's response to this link from `offset` on and makes the peer the stream's owner.
    pub(super) fn subscribe(&mut self, job: Arc<Job>, offset: u64) {
        if let Some(owner) = &self.owner {
            let item = work::memory_item(job.attempt());
            // Fails only when the item is already gone and needs no owner.
            let _ = self.process.memory().table().claim(&item, owner, self.process.now());
        }
        self.subscriptions.add(job, offset);
    }

    pub(super) async fn send(&self, body: Body) -> Result<(), Error> {
        self.sender.send(body).await.map_err(|_| Error::Io(std::io::ErrorKind::BrokenPipe.into()))
    }
}
