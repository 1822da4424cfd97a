use std::sync::Arc;
use std::time::Duration;

use kumquattiller_link::Link;
use kumquattiller_link::Receiver;
use kumquattiller_link::Sender;
use kumquattiller_telemetry::metrics::LinkKind;
use kumquattiller_wire::Body;
use kumquattiller_wire::Load;
use kumquattiller_wire::link;
use tokio::time::interval;
use tokio::time::sleep;

use crate::Daemon;
use crate::runners::Remote;
use crate::runners::Reply;
use crate::source;

/// Time between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Silence after which a link is given up.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);
/// First pause after a failed connection.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause after a failed connection.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// Keeps the link to a runner open until the runner leaves the register.
pub async fn run(daemon: Daemon, remote: Arc<Remote>) {
    let removed = remote.removed().clone();
    let stopped = daemon.stopped().clone();
    tokio::select! {
        () = dial(&daemon, &remote) => {}
        () = removed.cancelled() => {}
        () = stopped.cancelled() => {}
    }
    remote.disconnected();
    daemon.runners().routes().refresh(&remote);
}

/// Connects again and again.
async fn dial(daemon: &Daemon, remote: &Remote) {
    let mut pause = FIRST_PAUSE;
    loop {
        let version = daemon.config_version().get();
        match Link::connect(remote.runner().address, daemon.identity(), version).await {
            Ok(link) if link.peer.name == remote.runner().id.as_str() => {
                pause = FIRST_PAUSE;
                serve(daemon, remote, link).await;
                remote.disconnected();
                daemon.runners().routes().refresh(remote);
            }
            Ok(link) => {
                let id = &remote.runner().id;
                log::warn!(runner:% = id; "address belongs to {:?}", link.peer.name);
            }
            Err(error) => log::debug!(runner:% = remote.runner().id; "no link: {error}"),
        }
        remote.set_dialed();
        sleep(pause).await;
        pause = LONGEST_PAUSE.min(pause * 2);
    }
}

/// Serves an open link until it closes or falls silent.
async fn serve(daemon: &Daemon, remote: &Remote, link: Link) {
    let load = link.load.map(Load::from).unwrap_or_default();
    remote.connected(link.sender.clone(), link.peer.incarnation, load, daemon.now());
    daemon.runners().routes().refresh(remote);
    remote.set_dialed();
    let spread = daemon.spread().add_link(remote.runner().id.as_str(), link.sender.clone());
    log::info!(runner:% = remote.runner().id; "link is open");
    tokio::select! {
        () = receive(daemon, remote, link.receiver) => {}
        () = beat(daemon, &link.sender) => {}
    }
    daemon.spread().remove_link(spread);
    log::info!(runner:% = remote.runner().id; "link is closed");
}

/// Hands out frames until the link closes or falls silent.
async fn receive(daemon: &Daemon, remote: &Remote, mut receiver: Receiver) {
    loop {
        match tokio::time::timeout(SILENCE_LIMIT, receiver.next()).await {
            Ok(Ok(Some(body))) => take(daemon, remote, body),
            Ok(Ok(None)) => return,
            Ok(Err(error)) => {
                log::warn!(runner:% = remote.runner().id; "link failed: {error}");
                return;
            }
            Err(_) => {
                log::warn!(runner:% = remote.runner().id; "link is silent");
                return;
            }
        }
    }
}

/// Takes one frame.
fn take(daemon: &Daemon, remote: &Remote, body: Body) {
    if source::take(daemon, remote.runner().id.as_str(), &body) {
        return;
    }
    if let Body::Heartbeat(heartbeat) = body {
        if let Some(load) = heartbeat.load {
            remote.report(load.into(), daemon.now());
            daemon.runners().routes().refresh(remote);
        }
        return;
    }
    if let Body::OrderResult(result) = &body {
        daemon.orders().take(&remote.runner().id, result);
        return;
    }
    if let Body::Suspects(report) = &body {
        daemon.suspects().hear(report, daemon.now());
        return;
    }
    match Reply::read(body) {
        Ok(Some((attempt, reply, load))) => {
            if let Some(load) = load {
                remote.report(load, daemon.now());
                daemon.runners().routes().refresh(remote);
            }
            if !remote.deliver(attempt, reply) {
                log::debug!(request:% = attempt.request; "frame of another attempt was dropped");
                daemon.recorder().metrics().count_dropped_frame();
            }
        }
        Ok(None) => log::debug!(runner:% = remote.runner().id; "frame is not expected"),
        Err(error) => log::warn!(runner:% = remote.runner().id; "frame was dropped: {error}"),
    }
}

/// Sends heartbeats until the link closes.
async fn beat(daemon: &Daemon, sender: &Sender) {
    let mut ticks = interval(HEARTBEAT_INTERVAL);
    let mut nonce = 0;
    loop {
        ticks.tick().await;
        nonce += 1;
        let control = sender.take_control_bytes();
        daemon.recorder().metrics().add_control_bytes(LinkKind::Runner, control);
        let heartbeat = link::Heartbeat {
            config_version: daemon.config_version().get(),
            load: None,
            nonce,
            reply: false,
            ready: false,
        };
        if sender.send(Body::Heartbeat(heartbeat)).await.is_err() {
            return;
        }
    }
}
