use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use kumquattiller_base::fingerprint::Fingerprint;
use log::warn;
use prost::Message;
use tokio::net::UdpSocket;

use crate::Gateway;
use crate::load::Demand;
use crate::load::server_key;
use crate::peer::Count;
use crate::peer::Load;
use crate::peer::Report;
use crate::peer::fetch;
use crate::stop::Phase;

/// Shortest time between two reports of a daemon.
const LEAST_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time between two reports of a daemon.
const MOST_INTERVAL: Duration = Duration::from_millis(250);
/// Added to the interval for each peer, so that reports that arrive stay about as many.
const INTERVAL_PER_PEER: Duration = Duration::from_millis(4);
/// Most bytes of a datagram.
const MAX_DATAGRAM_BYTES: usize = 8 * 1024;
/// Most suspects in a report.
const MAX_SUSPECTS: usize = 16;

/// Sends and takes in reports until the process ends.
///
/// # Errors
///
/// Fails when the socket cannot be bound.
pub async fn run(gateway: Rc<Gateway>) -> io::Result<()> {
    let socket = UdpSocket::bind(gateway.settings().peer).await?;
    let incarnation = rand::random();
    let mut sequence = 0;
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut next = tokio::time::Instant::now();
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => take(&gateway, &buffer[..length], from),
                Err(error) => warn!(target: "peer", error:%; "a datagram could not be received"),
            },
            () = gateway.wait_announcement() => {
                sequence += 1;
                send(&gateway, &socket, incarnation, sequence).await;
            }
            () = tokio::time::sleep_until(next) => {
                sequence += 1;
                send(&gateway, &socket, incarnation, sequence).await;
                let peers = gateway.peers().borrow().len();
                next = tokio::time::Instant::now() + interval(peers);
            }
        }
    }
}

/// Returns the time between two reports of a daemon that has `peers`.
pub fn interval(peers: usize) -> Duration {
    (INTERVAL_PER_PEER * peers as u32).clamp(LEAST_INTERVAL, MOST_INTERVAL)
}

async fn send(gateway: &Gateway, socket: &UdpSocket, incarnation: u64, sequence: u64) {
    let due = gateway.peers().borrow_mut().due(gateway.now());
    if due.is_empty() {
        return;
    }
    let report = report(gateway, incarnation, sequence).encode_to_vec();
    for address in due {
        // A datagram that is not sent is like one that is lost on the way.
        if let Err(error) = socket.try_send_to(&report, address) {
            log::debug!(target: "peer", error:%, address:%; "a report was not sent");
        }
    }
}

fn report(gateway: &Gateway, incarnation: u64, sequence: u64) -> Report {
    let now = gateway.now();
    let ledger = gateway.ledger().borrow();
    let loads = ledger.report().map(|(server, told)| Load::of(server, &told)).collect();
    let suspects = gateway.suspects().borrow().counts(MAX_SUSPECTS);
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
        without_part: gateway.health().borrow().unusable_helpers(now).map(server_key).collect(),
        leaving: gateway.fleet().borrow().leaving_keys(),
        suspects: suspects.into_iter().map(|(f, deaths)| count(f, deaths)).collect(),
    }
}

fn count(fingerprint: Fingerprint, deaths: u32) -> Count {
    let value = fingerprint.get();
    Count { high: (value >> 64) as u64, low: value as u64, deaths }
}

/// Takes in a datagram.
fn take(gateway: &Rc<Gateway>, bytes: &[u8], from: SocketAddr) {
    let report = match Report::decode(bytes) {
        Ok(report) => report,
        Err(error) => {
            warn!(target: "peer", error:%, from:%; "a datagram is not a report");
            return;
        }
    };
    let Ok(id) = report.daemon.parse() else {
        warn!(target: "peer", from:%; "a report names no daemon");
        return;
    };
    let now = gateway.now();
    let fresh =
        gateway.peers().borrow_mut().hear(&id, from, report.incarnation, report.sequence, now);
    if !fresh {
        return;
    }
    gateway.peers().borrow_mut().set_stopping(&id, report.stopping);
    let told = report.loads.iter().map(|load| (load.server, load.into())).collect();
    let demand = Demand {
        long_ms_per_s: f64::from(report.demand_long_ms),
        short_per_s: f64::from(report.demand_short),
    };
    gateway.ledger().borrow_mut().update_peer(id, demand, told, now);
    for count in &report.suspects {
        let value = (u128::from(count.high) << 64) | u128::from(count.low);
        gateway.suspects().borrow_mut().merge_count(Fingerprint::new(value), count.deaths, now);
    }
    for id in gateway.fleet().borrow_mut().mark_leaving(&report.leaving) {
        log::info!(target: "fleet", server:% = id, from:%; "a peer saw the server leave");
    }
    gateway.tell_without_part(&report.without_part);
    if report.version > gateway.version().get() {
        fetch::start(gateway, from);
    }
}
