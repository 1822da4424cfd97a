use std::time::Duration;

use kumquattiller_link::Link;
use kumquattiller_link::Receiver;
use kumquattiller_link::Sender;
use kumquattiller_telemetry::metrics::LinkKind;
use kumquattiller_wire::Body;
use kumquattiller_wire::link;
use tokio::time::interval;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::Daemon;
use crate::peers::select::Endpoint;
use crate::source;

/// Time between the heartbeats on a link.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a frame after which a link is closed.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay before the first reconnection attempt; doubles with each further attempt in a row.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Longest delay between connection attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Keeps a link to another entry daemon open until the task is aborted.
pub async fn run(daemon: Daemon, peer: Endpoint) {
    let mut backoff = INITIAL_BACKOFF;
    loop {
        let version = daemon.config_version().get();
        match Link::connect(peer.address, daemon.identity(), version).await {
            Ok(link) if link.peer.name == peer.name => {
                backoff = INITIAL_BACKOFF;
                serve(&daemon, &peer, link).await;
            }
            Ok(link) => {
                log::warn!(
                    peer = peer.name;
                    "address belongs to another process: {:?}", link.peer.name
                )
            }
            Err(error) => log::debug!(peer = peer.name; "failed to connect to the peer: {error}"),
        }
        sleep(backoff).await;
        backoff = MAX_BACKOFF.min(backoff * 2);
    }
}

async fn serve(daemon: &Daemon, peer: &Endpoint, link: Link) {
    let guard = daemon.peers().add(daemon, &peer.name, &peer.zone, link.sender.clone());
    tokio::select! {
        () = receive_frames(daemon, &peer.name, link.receiver) => {}
        () = send_heartbeats(daemon, &link.sender) => {}
    }
    drop(guard);
}

async fn receive_frames(daemon: &Daemon, peer: &str, mut receiver: Receiver) {
    while let Ok(Ok(Some(body))) = timeout(SILENCE_TIMEOUT, receiver.next()).await {
        match body {
            Body::Leave(leave) => daemon.handle_leave(&leave),
            Body::Gossip(gossip) => {
                if let Some(reply) = daemon.members().handle_gossip(gossip, daemon.now()) {
                    daemon.peers().try_send(peer, reply);
                }
            }
            Body::Demands(demands) => daemon.limits().record_demands(&demands, daemon.now()),
            body => {
                source::handle_frame(daemon, peer, &body);
            }
        }
    }
}

async fn send_heartbeats(daemon: &Daemon, sender: &Sender) {
    let mut ticks = interval(HEARTBEAT_INTERVAL);
    loop {
        ticks.tick().await;
        let control = sender.take_control_bytes();
        daemon.recorder().metrics().add_control_bytes(LinkKind::Entry, control);
        let config_version = daemon.config_version().get();
        let heartbeat = link::Heartbeat { config_version, ..link::Heartbeat::default() };
        if sender.send(Body::Heartbeat(heartbeat)).await.is_err() {
            return;
        }
    }
}
