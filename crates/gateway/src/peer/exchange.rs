use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::SystemTime;

use kumquattiller_base::daemon;
use kumquattiller_base::time::Moment;
use log::warn;
use prost::Message;
use tokio::net::UdpSocket;

use crate::Gateway;
use crate::freshness;
use crate::load::Demand;
use crate::load::report_interval;
use crate::load::server_key;
use crate::pause;
use crate::peer::Load;
use crate::peer::Queue;
use crate::peer::RateLimit;
use crate::peer::Recipients;
use crate::peer::Report;
use crate::peer::Serial;
use crate::peer::fetch;
use crate::prefix;
use crate::queue::InFlight;
use crate::rate_limit;
use crate::stop::Phase;
use crate::suspect;

/// Maximum size of a datagram.
const MAX_DATAGRAM_BYTES: usize = 8 * 1024;
/// Maximum number of suspects in a report.
const MAX_SUSPECTS: usize = 24;
/// Maximum number of rate limits in a report.
const MAX_RATE_LIMITS: usize = 64;

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
    let mut pauses = pause::Detector::new(tokio::time::Instant::now(), SystemTime::now());
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => {
                    if !detect_pause(&gateway, &socket, &mut pauses) {
                        handle_datagram(&gateway, &socket, &buffer[..length], from);
                    }
                }
                Err(error) => warn!(target: "peer", error:%; "failed to receive a datagram"),
            },
            () = gateway.wait_for_report_request() => {
                sequence += 1;
                send_reports(&gateway, &socket, Serial { incarnation, sequence });
            }
            () = tokio::time::sleep_until(next) => {
                detect_pause(&gateway, &socket, &mut pauses);
                sequence += 1;
                send_reports(&gateway, &socket, Serial { incarnation, sequence });
                let peers = gateway.peers().borrow().len();
                next = tokio::time::Instant::now() + report_interval(peers);
            }
        }
    }
}

/// Returns whether the process did not run for a while. Reports that arrived in that time are
/// discarded, because their ages are counted from the moment at which they are read.
fn detect_pause(gateway: &Gateway, socket: &UdpSocket, pauses: &mut pause::Detector) -> bool {
    let Some(time) = pauses.check(tokio::time::Instant::now(), SystemTime::now()) else {
        return false;
    };
    gateway.record_pause(time);
    let mut discarded = 0;
    while socket.try_recv(&mut [0]).is_ok() {
        discarded += 1;
    }
    let ms = time.as_millis() as u64;
    warn!(target: "process", ms, discarded; "did not run, or the time of day has jumped");
    true
}

fn send_reports(gateway: &Gateway, socket: &UdpSocket, serial: Serial) {
    let zone = gateway.settings().zone.as_ref();
    let now = gateway.now();
    let recipients = gateway.peers().borrow_mut().take_due(zone, serial.sequence, now);
    if recipients == Recipients::default() {
        return;
    }
    let mut report = report(gateway, serial);
    send(socket, &report, &recipients.direct);
    report.forward = true;
    send(socket, &report, &recipients.forwarding);
}

/// Sends a report to some peers. A datagram that cannot be sent is treated like one that is lost.
fn send(socket: &UdpSocket, report: &Report, peers: &[SocketAddr]) {
    let bytes = report.encode_to_vec();
    for address in peers {
        if let Err(error) = socket.try_send_to(&bytes, *address) {
            log::debug!(target: "peer", error:%, address:%; "failed to send a report");
        }
    }
}

/// Forwards a report to the other daemons of this availability zone.
fn forward(gateway: &Gateway, socket: &UdpSocket, report: Report, origin: SocketAddr) {
    let Some(zone) = &gateway.settings().zone else {
        return;
    };
    let neighbours = gateway.peers().borrow().neighbours(zone, gateway.now());
    let report = Report { forward: false, origin: Some(origin.to_string()), ..report };
    send(socket, &report, &neighbours);
}

fn report(gateway: &Gateway, serial: Serial) -> Report {
    let now = gateway.now();
    let ledger = gateway.ledger().borrow();
    let loads = ledger.report().map(|(server, reported)| Load::of(server, &reported)).collect();
    let suspects = gateway.suspects().borrow().reports(MAX_SUSPECTS, now);
    let demand = ledger.local_demand(now);
    let queue = gateway.queue().queue().borrow().report(now);
    Report {
        demand_long_ms: demand.long_ms_per_s as f32,
        demand_short: demand.short_per_s as f32,
        daemon: gateway.settings().name.to_string(),
        sequence: serial.sequence,
        incarnation: serial.incarnation,
        version: gateway.version().get(),
        loads,
        stopping: gateway.phase() != Phase::Serving,
        unusable_helpers: gateway.health().borrow().unusable_helpers(now).map(server_key).collect(),
        leaving: gateway.fleet().borrow().draining_keys(),
        confirmations: gateway.freshness().borrow().confirmations(now).map(Into::into).collect(),
        suspects: suspects.into_iter().map(Into::into).collect(),
        forward: false,
        origin: None,
        rate_limits: rate_limits(gateway, now),
        queue: Queue::of(&queue, now),
        accounts: queue.usages.iter().map(Into::into).collect(),
        paces: gateway.pace_reports(),
        prefixes: gateway.take_prefix_reports().into_iter().map(Into::into).collect(),
    }
}

/// Returns what the peers are told of limits: what is known of stated ones before cold states, which
/// peers also learn from registrations.
fn rate_limits(gateway: &Gateway, now: Moment) -> Vec<RateLimit> {
    let limits = gateway.rate_limits().borrow();
    let mut reports: Vec<rate_limit::Report> = limits.reports(now).collect();
    reports.sort_by_key(|report| report.cold.is_some() && report.statement.is_none());
    reports.into_iter().take(MAX_RATE_LIMITS).map(Into::into).collect()
}

/// Decodes a report from a peer, applies it, and forwards it if the peer asks for that.
fn handle_datagram(gateway: &Rc<Gateway>, socket: &UdpSocket, bytes: &[u8], from: SocketAddr) {
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
    let Ok(from) = report.origin.as_deref().map_or(Ok(from), str::parse) else {
        warn!(target: "peer", from:%; "received a report whose origin is not an address");
        return;
    };
    let now = gateway.now();
    let is_newest = gateway.peers().borrow_mut().record_report(
        &id,
        from,
        Serial { incarnation: report.incarnation, sequence: report.sequence },
        now,
    );
    if !is_newest {
        return;
    }
    apply_report(gateway, &id, &report, from, now);
    if report.forward {
        forward(gateway, socket, report, from);
    }
}

fn apply_report(
    gateway: &Rc<Gateway>,
    id: &daemon::Id,
    report: &Report,
    from: SocketAddr,
    now: Moment,
) {
    gateway.peers().borrow_mut().set_stopping(id, report.stopping);
    let loads = report.loads.iter().map(|load| (load.server, load.into())).collect();
    let demand = Demand {
        long_ms_per_s: f64::from(report.demand_long_ms),
        short_per_s: f64::from(report.demand_short),
    };
    gateway.ledger().borrow_mut().update_peer(id.clone(), demand, loads, now);
    let suspects: Vec<suspect::Report> = report.suspects.iter().map(Into::into).collect();
    gateway.suspects().borrow_mut().merge(&suspects, now);
    for id in gateway.fleet().borrow_mut().mark_draining(&report.leaving) {
        log::info!(
            target: "fleet", server:% = id, from:%;
            "a peer reports that the server is draining"
        );
    }
    gateway.mark_reported_unusable_helpers(&report.unusable_helpers);
    apply_queue(gateway, id, report, now);
    apply_rate_limits(gateway, id, &report.rate_limits);
    gateway.merge_paces(id, &report.paces);
    let prefixes: Vec<prefix::Report> = report.prefixes.iter().map(Into::into).collect();
    gateway.merge_prefixes(&prefixes);
    for confirmation in &report.confirmations {
        match confirmation.kind().try_into() {
            Ok(kind) => {
                let confirmation = confirmation.into();
                record_last_change(gateway, id, kind, &confirmation);
                gateway.merge_confirmation(kind, confirmation);
            }
            Err(reason) => log::debug!(target: "peer", reason:%, from:%; "skipped a confirmation"),
        }
    }
    let needs_evacuations = report.version > 0 && gateway.needs_evacuations_from_document();
    if report.version > gateway.version().get() || needs_evacuations {
        fetch::start(gateway, from);
    }
}

fn apply_queue(gateway: &Gateway, peer: &daemon::Id, report: &Report, now: Moment) {
    let queue = report.queue.clone().unwrap_or_default().report(&report.accounts, now);
    let in_flight = InFlight {
        memory: report.loads.iter().map(|load| load.memory).fold(0, u64::saturating_add),
        backlog_ms: report.loads.iter().map(|load| f64::from(load.backlog_ms)).sum(),
    };
    gateway.queue().merge(peer, queue, in_flight, now);
}

fn apply_rate_limits(gateway: &Gateway, peer: &daemon::Id, limits: &[RateLimit]) {
    let mut reports = Vec::new();
    for limit in limits {
        match rate_limit::Report::try_from(limit) {
            Ok(report) => reports.push(report),
            Err(error) => warn!(target: "peer", error:%, peer:%; "skipped a rate limit"),
        }
    }
    gateway.merge_rate_limits(peer, &reports);
}

/// Records what a peer has, so that it can be asked for it.
fn record_last_change(
    gateway: &Gateway,
    peer: &daemon::Id,
    kind: freshness::Kind,
    confirmation: &freshness::Confirmation,
) {
    let change = confirmation.last_change;
    gateway.peers().borrow_mut().record_last_change(peer, kind, change);
}
