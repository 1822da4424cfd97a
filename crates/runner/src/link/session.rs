use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use kumquattiller_base::account;
use kumquattiller_base::error;
use kumquattiller_base::request;
use kumquattiller_base::size::Tokens;
use kumquattiller_link::Identity;
use kumquattiller_link::Receiver;
use kumquattiller_link::Sender;
use kumquattiller_routing::admission::Item;
use kumquattiller_routing::admission::Refusal;
use kumquattiller_wire::Attempt;
use kumquattiller_wire::Body;
use kumquattiller_wire::Error;
use kumquattiller_wire::link;
use tokio_util::sync::CancellationToken;

use crate::Process;
use crate::admission::Promise;
use crate::job::Job;
use crate::link::accept;
use crate::link::accept::Held;
use crate::link::accept::Later;
use crate::link::frames;
use crate::link::incoming::Incoming;
use crate::link::subscription;

/// One link from an entry daemon.
#[derive(Debug)]
pub struct Session {
    process: Process,
    sender: Sender,
    peer: Identity,
    incoming: HashMap<Attempt, Incoming>,
    held: HashMap<Attempt, Held>,
}

impl Session {
    /// Begins a session on an open link.
    pub fn new(process: Process, sender: Sender, peer: Identity) -> Self {
        Self { process, sender, peer, incoming: HashMap::new(), held: HashMap::new() }
    }

    /// Serves frames until the link closes.
    pub async fn run(mut self, mut receiver: Receiver) {
        loop {
            let body = match receiver.next().await {
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
        match body {
            Body::Start(start) => self.start(start).await,
            Body::BodyPart(part) => self.body_part(&part).await,
            Body::Cancel(cancel) => self.cancel(cancel),
            Body::Resume(resume) => self.resume(&resume).await,
            Body::Heartbeat(heartbeat) => self.heartbeat(&heartbeat).await,
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
            Ok(promise) => {
                self.incoming.insert(attempt, Incoming::new(start, promise));
                self.run_if_complete(attempt).await
            }
            Err(refusal) => {
                let kind = refusal.kind;
                let decision = format!("the runner refused attempt {}: {kind}", attempt.number);
                let recorder = self.process.recorder();
                recorder.metrics().refusal(kind);
                recorder.note(self.process.now(), attempt.request, &decision);
                let load = self.process.load();
                let retry_after = Some(refusal.retry_after);
                self.send(frames::refused(attempt, kind, retry_after, load)).await
            }
        }
    }

    /// Promises memory for a start, now or later, or tells why it is refused.
    fn admit(&self, start: &link::Start) -> Result<Promise, Refusal> {
        let refuse = |kind: error::Kind| {
            let retry_after = kind.answer().retry_after.unwrap_or_default();
            Err(Refusal { kind, retry_after })
        };
        if self.process.is_leaving() {
            return refuse(error::Kind::Leaving);
        }
        if start.left_ms == 0 {
            return refuse(error::Kind::DeadlineExpired);
        }
        if start.incarnation != 0 && start.incarnation != self.process.identity().incarnation {
            return refuse(error::Kind::NoRunner);
        }
        self.process.memory().promise(Item {
            request: request::Id::from_u128(0),
            prompt: Tokens::new(start.prompt_tokens),
            answer: Tokens::new(start.max_tokens),
            rank: account::Rank::new(start.rank.min(u32::from(u8::MAX)) as u8),
            deadline: self.process.now() + Duration::from_millis(start.left_ms),
            is_reservation: false,
        })
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
        let (start, body, promise) = incoming.into_parts();
        if promise.is_ready() {
            return self.accept(attempt, start, body, promise).await;
        }
        self.hold(attempt, start, body, promise);
        Ok(())
    }

    /// Waits for room beside the session; the attempt is accepted or refused later.
    fn hold(&mut self, attempt: Attempt, start: link::Start, body: Bytes, promise: Promise) {
        let cancelled = CancellationToken::new();
        self.held.retain(|_, guard| !guard.is_over());
        self.held.insert(attempt, Held::new(cancelled.clone()));
        let note = "the runner holds the attempt until memory is free";
        self.process.recorder().note(self.process.now(), attempt.request, note);
        let later = Later::new(self.process.clone(), self.sender.clone(), cancelled);
        self.process.spawn(later.run(attempt, start, body, promise));
    }

    /// Creates the job, tells the entry daemon and starts the work.
    async fn accept(
        &self,
        attempt: Attempt,
        start: link::Start,
        body: Bytes,
        promise: Promise,
    ) -> Result<(), Error> {
        accept::run(&self.process, &self.sender, attempt, start, body, promise).await
    }

    /// Cancels an attempt.
    fn cancel(&mut self, cancel: link::Cancel) -> Result<(), Error> {
        let attempt = Attempt::from_field(cancel.attempt)?;
        self.incoming.remove(&attempt);
        self.held.remove(&attempt);
        if let Some(job) = self.process.jobs().get(attempt) {
            job.cancel().cancel();
        }
        Ok(())
    }

    /// Continues an attempt that was started through another link.
    async fn resume(&self, resume: &link::Resume) -> Result<(), Error> {
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
        };
        self.send(Body::Heartbeat(reply)).await
    }

    fn subscribe(&self, job: Arc<Job>, offset: u64) {
        let sender = self.sender.clone();
        tokio::spawn(subscription::run(self.process.clone(), sender, job, offset));
    }

    async fn send(&self, body: Body) -> Result<(), Error> {
        self.sender.send(body).await.map_err(|_| Error::Io(std::io::ErrorKind::BrokenPipe.into()))
    }
}
