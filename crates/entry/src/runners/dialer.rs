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

/// Interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a frame after which a link is closed.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before the first reconnection attempt.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Longest delay between connection attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Keeps the link to a runner open until the runner leaves the register.
pub async fn run(daemon: Daemon, remote: Arc<Remote>) {
    let removed = remote.removed().clone();
    let stopped = daemon.stopped().clone();
    tokio::select! {
        () = keep_connected(&daemon, &remote) => {}
        () = removed.cancelled() => {}
        () = stopped.cancelled() => {}
    }
    remote.set_disconnected();
    daemon.runners().routes().refresh(&remote);
}

/// Connects to the runner, serves the link, and reconnects with exponential backoff.
///
/// A link whose peer is another process than the registered runner is closed.
async fn keep_connected(daemon: &Daemon, remote: &Remote) {
    let mut backoff = INITIAL_BACKOFF;
    loop {
        let version = daemon.config_version().get();
        match Link::connect(remote.runner().address, daemon.identity(), version).await {
            Ok(link) if link.peer.name == remote.runner().id.as_str() => {
                backoff = INITIAL_BACKOFF;
                serve(daemon, remote, link).await;
                remote.set_disconnected();
                daemon.runners().routes().refresh(remote);
            }
            Ok(link) => {
                let id = &remote.runner().id;
                log::warn!(runner:% = id; "peer at the registered address is {:?}", link.peer.name);
            }
            Err(error) => log::debug!(runner:% = remote.runner().id; "connection failed: {error}"),
        }
        remote.set_dialed();
        sleep(backoff).await;
        backoff = MAX_BACKOFF.min(backoff * 2);
    }
}

/// Serves an open link until it closes or a frame is overdue.
async fn serve(daemon: &Daemon, remote: &Remote, link: Link) {
    let load = link.load.map(Load::from).unwrap_or_default();
    remote.set_connected(link.sender.clone(), link.peer.incarnation, load, daemon.now());
    daemon.runners().routes().refresh(remote);
    remote.set_dialed();
    let spread_link = daemon.spread().add_link(remote.runner().id.as_str(), link.sender.clone());
    log::info!(runner:% = remote.runner().id; "link opened");
    tokio::select! {
        () = receive_frames(daemon, remote, link.receiver) => {}
        () = send_heartbeats(daemon, &link.sender) => {}
    }
    daemon.spread().remove_link(spread_link);
    log::info!(runner:% = remote.runner().id; "link closed");
}

/// Handles frames until the link closes or a frame is overdue.
async fn receive_frames(daemon: &Daemon, remote: &Remote, mut receiver: Receiver) {
    loop {
        match tokio::time::timeout(SILENCE_TIMEOUT, receiver.next()).await {
            Ok(Ok(Some(body))) => handle_frame(daemon, remote, body),
            Ok(Ok(None)) => return,
            Ok(Err(error)) => {
                log::warn!(runner:% = remote.runner().id; "link failed: {error}");
                return;
            }
            Err(_) => {
                log::warn!(runner:% = remote.runner().id; "link timed out waiting for a frame");
                return;
            }
        }
    }
}

/// Handles a frame from the runner.
fn handle_frame(daemon: &Daemon, remote: &Remote, body: Body) {
    if source::handle_frame(daemon, remote.runner().id.as_str(), &body) {
        return;
    }
    if let Body::Heartbeat(heartbeat) = body {
        if let Some(load) = heartbeat.load {
            remote.update_load(load.into(), daemon.now());
            daemon.runners().routes().refresh(remote);
        }
        return;
    }
    if let Body::OrderResult(result) = &body {
        daemon.orders().record_result(&remote.runner().id, result);
        return;
    }
    if let Body::Suspects(report) = &body {
        daemon.suspects().record_report(report, daemon.now());
        return;
    }
    match Reply::read(body) {
        Ok(Some((attempt, reply, load))) => {
            if let Some(load) = load {
                remote.update_load(load, daemon.now());
                daemon.runners().routes().refresh(remote);
            }
            if !remote.deliver(attempt, reply) {
                log::debug!(request:% = attempt.request; "dropped a reply to an unknown attempt");
                daemon.recorder().metrics().count_dropped_frame();
            }
        }
        Ok(None) => log::debug!(runner:% = remote.runner().id; "ignored an unexpected frame"),
        Err(error) => log::warn!(runner:% = remote.runner().id; "dropped invalid frame: {error}"),
    }
}

/// Sends heartbeats until the link closes.
async fn send_heartbeats(daemon: &Daemon, sender: &Sender) {
    let mut ticks = interval(HEARTBEAT_INTERVAL);
    let mut nonce = 0;
    loop {
        ticks.tick().await;
        nonce += 1;
        let control_bytes = sender.take_control_bytes();
        daemon.recorder().metrics().add_control_bytes(LinkKind::Runner, control_bytes);
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
