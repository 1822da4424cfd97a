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
pub const SILENCE_LIMIT: Duration = Duration::from_secs(3);
/// Pause before the first reconnect; doubles with each failure in a row.
const MIN_RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause before a reconnect.
const MAX_RECONNECT_PAUSE: Duration = Duration::from_secs(1);

/// Keeps a link to another entry daemon open until the task is aborted.
pub async fn run(daemon: Daemon, peer: Endpoint) {
    let mut pause = MIN_RECONNECT_PAUSE;
    loop {
        let version = daemon.config_version().get();
        match Link::connect(peer.address, daemon.identity(), version).await {
            Ok(link) if link.peer.name == peer.name => {
                pause = MIN_RECONNECT_PAUSE;
                serve(&daemon, &peer, link).await;
            }
            Ok(link) => log::warn!(peer = peer.name; "address is used by {:?}", link.peer.name),
            Err(error) => log::debug!(peer = peer.name; "failed to connect to the peer: {error}"),
        }
        sleep(pause).await;
        pause = MAX_RECONNECT_PAUSE.min(pause * 2);
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
    while let Ok(Ok(Some(body))) = timeout(SILENCE_LIMIT, receiver.next()).await {
        match body {
            Body::Leave(leave) => daemon.on_leaving(&leave),
            Body::Gossip(gossip) => {
                if let Some(answer) = daemon.members().handle_gossip(gossip, daemon.now()) {
                    daemon.peers().try_send(peer, answer);
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
