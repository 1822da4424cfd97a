use kumquattiller_base::request;
use kumquattiller_link::Identity;
use kumquattiller_link::Receiver;
use kumquattiller_link::Sender;
use kumquattiller_telemetry::metrics::LinkKind;
use kumquattiller_wire::Body;
use kumquattiller_wire::link;
use tokio::time::timeout;

use crate::Daemon;
use crate::peers::SILENCE_LIMIT;
use crate::source;

/// An open link from an operator or another entry daemon.
#[derive(Debug)]
pub struct Session {
    daemon: Daemon,
    sender: Sender,
    peer: Identity,
}

impl Session {
    /// Creates a session on an open link.
    pub const fn new(daemon: Daemon, sender: Sender, peer: Identity) -> Self {
        Self { daemon, sender, peer }
    }

    /// Serves frames until the link closes or stays silent for [`SILENCE_LIMIT`].
    pub async fn run(self, mut receiver: Receiver) {
        let name = self.peer.name.as_str();
        let is_daemon = self.peer.role == self.daemon.identity().role;
        let _guard = is_daemon.then(|| {
            let sender = self.sender.clone();
            self.daemon.peers().add(&self.daemon, name, &self.peer.zone, sender)
        });
        while let Ok(Ok(Some(body))) = timeout(SILENCE_LIMIT, receiver.next()).await {
            self.count_control_bytes(is_daemon);
            if is_daemon && source::handle_frame(&self.daemon, name, &body) {
                continue;
            }
            let answer = match body {
                Body::Explain(question) => self.answer_explain(question),
                Body::Heartbeat(heartbeat) => self.answer_heartbeat(heartbeat),
                Body::Gossip(gossip) if is_daemon => {
                    match self.daemon.members().handle_gossip(gossip, self.daemon.now()) {
                        Some(answer) => Some(answer),
                        None => continue,
                    }
                }
                Body::Demands(demands) if is_daemon => {
                    self.daemon.limits().record_demands(&demands, self.daemon.now());
                    continue;
                }
                Body::Leave(leave) => {
                    self.daemon.on_leaving(&leave);
                    continue;
                }
                _ => None,
            };
            let Some(answer) = answer else {
                log::debug!(peer = self.peer.name.as_str(); "unexpected frame");
                continue;
            };
            if self.sender.send(answer).await.is_err() {
                return;
            }
        }
    }

    /// Counts the bytes of control frames since the last call.
    fn count_control_bytes(&self, is_daemon: bool) {
        let kind = if is_daemon { LinkKind::Entry } else { LinkKind::Operator };
        let bytes = self.sender.take_control_bytes();
        self.daemon.recorder().metrics().add_control_bytes(kind, bytes);
    }

    /// Answers with the recorded decisions about a request.
    fn answer_explain(&self, question: link::Explain) -> Option<Body> {
        let id = request::Id::from(question.request?);
        let lines = self.daemon.recorder().lines(self.daemon.now(), id);
        let lines = lines.iter().map(|line| format!("{}: {line}", self.daemon.settings().id));
        Some(Body::Explained(link::Explained { request: Some(id.into()), lines: lines.collect() }))
    }

    /// Answers a heartbeat with the configuration version and readiness; ignores replies.
    fn answer_heartbeat(&self, heartbeat: link::Heartbeat) -> Option<Body> {
        let version = self.daemon.config_version().get();
        (!heartbeat.reply).then_some(Body::Heartbeat(link::Heartbeat {
            config_version: version,
            load: None,
            nonce: heartbeat.nonce,
            reply: true,
            ready: self.daemon.has_fresh_configuration(),
        }))
    }
}
