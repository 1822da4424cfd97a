use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use log::warn;
use prost::Message;
use tokio::net::UdpSocket;

use crate::Gateway;
use crate::load::Demand;
use crate::load::server_key;
use crate::peer::Load;
use crate::peer::Report;
use crate::peer::fetch;
use crate::stop::Phase;
use crate::suspect;

/// Minimum interval between the regular reports of a daemon.
const MIN_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum interval between the regular reports of a daemon.
const MAX_INTERVAL: Duration = Duration::from_millis(250);
/// Added to the interval for each peer, so that the rate of received reports stays about constant.
const INTERVAL_PER_PEER: Duration = Duration::from_millis(4);
/// Maximum size of a datagram.
const MAX_DATAGRAM_BYTES: usize = 8 * 1024;
/// Maximum number of suspects in a report.
const MAX_SUSPECTS: usize = 24;

/// Sends and receives reports until the process exits.
///
/// # Errors
///
/// Fails if the socket cannot be bound.
pub async fn run(gateway: Rc<Gateway>) -> io::Result<()> {
    let socket = UdpSocket::bind(gateway.settings().peer).await?;
    let incarnation = rand::random();
    let mut sequence = 0;
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut next = tokio::time::Instant::now();
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => handle_datagram(&gateway, &buffer[..length], from),
                Err(error) => warn!(target: "peer", error:%; "failed to receive a datagram"),
            },
            () = gateway.wait_for_report_request() => {
                sequence += 1;
                send_reports(&gateway, &socket, incarnation, sequence).await;
            }
            () = tokio::time::sleep_until(next) => {
                sequence += 1;
                send_reports(&gateway, &socket, incarnation, sequence).await;
                let peers = gateway.peers().borrow().len();
                next = tokio::time::Instant::now() + interval(peers);
            }
        }
    }
}

/// Returns the interval between the regular reports of a daemon that has this many peers.
pub fn interval(peers: usize) -> Duration {
    (INTERVAL_PER_PEER * peers as u32).clamp(MIN_INTERVAL, MAX_INTERVAL)
}

async fn send_reports(gateway: &Gateway, socket: &UdpSocket, incarnation: u64, sequence: u64) {
    let addresses = gateway.peers().borrow_mut().take_due(gateway.now());
    if addresses.is_empty() {
        return;
    }
    let report = report(gateway, incarnation, sequence).encode_to_vec();
    for address in addresses {
        // A datagram that cannot be sent is treated like one that is lost.
        if let Err(error) = socket.try_send_to(&report, address) {
            log::debug!(target: "peer", error:%, address:%; "failed to send a report");
        }
    }
}

fn report(gateway: &Gateway, incarnation: u64, sequence: u64) -> Report {
    let now = gateway.now();
    let ledger = gateway.ledger().borrow();
    let loads = ledger.report().map(|(server, reported)| Load::of(server, &reported)).collect();
    let suspects = gateway.suspects().borrow().reports(MAX_SUSPECTS, now);
    let demand = ledger.local_demand(now);
    Report {
        demand_long_ms: demand.long_ms_per_s as f32,
        demand_short: demand.short_per_s as f32,
        daemon: gateway.settings().name.to_string(),
        sequence,
        incarnation,
        version: gateway.version().get(),
        loads,
        stopping: gateway.phase() != Phase::Serving,
        unusable_helpers: gateway.health().borrow().unusable_helpers(now).map(server_key).collect(),
        leaving: gateway.fleet().borrow().draining_keys(),
        confirmations: gateway.freshness().borrow().confirmations(now).map(Into::into).collect(),
        suspects: suspects.into_iter().map(Into::into).collect(),
    }
}

/// Decodes a report from a peer and applies it.
fn handle_datagram(gateway: &Rc<Gateway>, bytes: &[u8], from: SocketAddr) {
    let report = match Report::decode(bytes) {
        Ok(report) => report,
        Err(error) => {
            warn!(target: "peer", error:%, from:%; "received an invalid report");
            return;
        }
    };
    let Ok(id) = report.daemon.parse() else {
        warn!(target: "peer", from:%; "received a report without a valid daemon name");
        return;
    };
    let now = gateway.now();
    let is_newest = gateway.peers().borrow_mut().record_report(
        &id,
        from,
        report.incarnation,
        report.sequence,
        now,
    );
    if !is_newest {
        return;
    }
    gateway.peers().borrow_mut().set_stopping(&id, report.stopping);
    let loads = report.loads.iter().map(|load| (load.server, load.into())).collect();
    let demand = Demand {
        long_ms_per_s: f64::from(report.demand_long_ms),
        short_per_s: f64::from(report.demand_short),
    };
    gateway.ledger().borrow_mut().update_peer(id, demand, loads, now);
    let suspects: Vec<suspect::Report> = report.suspects.iter().map(Into::into).collect();
    gateway.suspects().borrow_mut().merge(&suspects, now);
    for id in gateway.fleet().borrow_mut().mark_draining(&report.leaving) {
        log::info!(
            target: "fleet", server:% = id, from:%;
            "a peer reports that the server is draining"
        );
    }
    gateway.mark_reported_unusable_helpers(&report.unusable_helpers);
    for confirmation in &report.confirmations {
        match confirmation.kind().try_into() {
            Ok(kind) => gateway.merge_confirmation(kind, confirmation.into()),
            Err(reason) => log::debug!(target: "peer", reason:%, from:%; "skipped a confirmation"),
        }
    }
    if report.version > gateway.version().get() {
        fetch::start(gateway, from);
    }
}
