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
use crate::peers::chosen::Chosen;
use crate::source;

/// Time between heartbeats that keep a link open.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Silence after which a link is given up.
pub const SILENCE_LIMIT: Duration = Duration::from_secs(3);
/// First pause after a failed connection.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after a failed connection.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// Keeps the link to another entry daemon open.
pub async fn run(daemon: Daemon, peer: Chosen) {
    let mut pause = FIRST_PAUSE;
    loop {
        let version = daemon.config_version().get();
        match Link::connect(peer.address, daemon.identity(), version).await {
            Ok(link) if link.peer.name == peer.name => {
                pause = FIRST_PAUSE;
                serve(&daemon, &peer, link).await;
            }
            Ok(link) => log::warn!(peer = peer.name; "address belongs to {:?}", link.peer.name),
            Err(error) => log::debug!(peer = peer.name; "no link: {error}"),
        }
        sleep(pause).await;
        pause = LONGEST_PAUSE.min(pause * 2);
    }
}

async fn serve(daemon: &Daemon, peer: &Chosen, link: Link) {
    let guard = daemon.peers().connected(daemon, &peer.name, &peer.zone, link.sender.clone());
    tokio::select! {
        () = receive(daemon, &peer.name, link.receiver) => {}
        () = beat(daemon, &link.sender) => {}
    }
    drop(guard);
}

async fn receive(daemon: &Daemon, peer: &str, mut receiver: Receiver) {
    while let Ok(Ok(Some(body))) = timeout(SILENCE_LIMIT, receiver.next()).await {
        match body {
            Body::Leave(leave) => daemon.on_leaving(&leave),
            Body::Gossip(gossip) => {
                if let Some(answer) = daemon.members().take(gossip, daemon.now()) {
                    daemon.peers().send(peer, answer);
                }
            }
            Body::Demands(demands) => daemon.limits().learn(&demands, daemon.now()),
            body => {
                source::take(daemon, peer, &body);
            }
        }
    }
}

async fn beat(daemon: &Daemon, sender: &Sender) {
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
