use kumquattiller_base::request;
use kumquattiller_link::Identity;
use kumquattiller_link::Receiver;
use kumquattiller_link::Sender;
use kumquattiller_wire::Body;
use kumquattiller_wire::link;

use crate::Daemon;

/// One link from an operator or another entry daemon.
#[derive(Debug)]
pub struct Session {
    daemon: Daemon,
    sender: Sender,
    peer: Identity,
}

impl Session {
    /// Begins a session on an open link.
    pub const fn new(daemon: Daemon, sender: Sender, peer: Identity) -> Self {
        Self { daemon, sender, peer }
    }

    /// Serves frames until the link closes.
    pub async fn run(self, mut receiver: Receiver) {
        while let Ok(Some(body)) = receiver.next().await {
            let answer = match body {
                Body::Explain(question) => self.explain(question),
                Body::Heartbeat(heartbeat) => self.heartbeat(heartbeat),
                _ => None,
            };
            let Some(answer) = answer else {
                log::debug!(peer = self.peer.name.as_str(); "frame is not expected");
                continue;
            };
            if self.sender.send(answer).await.is_err() {
                return;
            }
        }
    }

    /// Answers with the decisions about a request.
    fn explain(&self, question: link::Explain) -> Option<Body> {
        let id = request::Id::from(question.request?);
        let lines = self.daemon.recorder().lines(self.daemon.now(), id);
        let lines = lines.iter().map(|line| format!("{}: {line}", self.daemon.settings().id));
        Some(Body::Explained(link::Explained { request: Some(id.into()), lines: lines.collect() }))
    }

    /// Answers a heartbeat with the configuration version.
    fn heartbeat(&self, heartbeat: link::Heartbeat) -> Option<Body> {
        let version = self.daemon.config_version().get();
        (!heartbeat.reply).then_some(Body::Heartbeat(link::Heartbeat {
            config_version: version,
            load: None,
            nonce: heartbeat.nonce,
            reply: true,
        }))
    }
}
