//! Waits for the placement of a request and refuses requests that cannot be placed.

use std::rc::Rc;
use std::time::Duration;

use kumquattiller_base::attempt::Attempt;
use kumquattiller_base::attempt::Unsent;
use kumquattiller_base::error::Kind;
use kumquattiller_base::runner;
use kumquattiller_routing::queue::Reason;
use kumquattiller_routing::queue::Turn;
use log::info;

use crate::Gateway;
use crate::http::Refusal;
use crate::http::Request;
use crate::http::outage_retry_delay;
use crate::placement::Declined;
use crate::placement::Placement;
use crate::queue::Ticket;
use crate::queue::WAIT_FRACTION;
use crate::stop::Phase;

/// Interval at which a waiting request of a service without an order of priority is placed again.
const MEMORY_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Retry delay for callers when no server accepts the request.
const NO_SERVER_RETRY_DELAY: Duration = Duration::from_millis(400);

/// A request that could not be placed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Unplaced {
    /// Why the servers were not chosen when it was last tried.
    pub declined: Declined,
    /// Why the queue refuses it, if it was in the queue.
    reason: Option<Reason>,
    /// When it is to return, as far as the queue knows.
    retry_after: Option<Duration>,
}

impl From<Declined> for Unplaced {
    fn from(declined: Declined) -> Self {
        Self { declined, reason: None, retry_after: None }
    }
}

/// Places a request. If the servers have no memory for it, or if it would cost other requests too
/// much, it waits in the queue for its turn. `ticket` is its place there, which it keeps until it
/// has been sent.
///
/// # Errors
///
/// Fails if the request cannot be placed while it may wait.
pub async fn place(
    gateway: &Rc<Gateway>,
    request: &Rc<Request>,
    tried: &[runner::Id],
    ticket: &mut Option<Ticket>,
) -> Result<Placement, Unplaced> {
    if ticket.is_none() {
        let entry = gateway.queue_entry(request);
        *ticket = entry.map(|entry| Ticket::new(gateway, &request.metadata.id, entry));
    }
    let Some(mut waiting) = ticket.take() else {
        return place_unordered(gateway, request, tried).await.map_err(Into::into);
    };
    let mut phase = gateway.subscribe_phase();
    let mut declined = Declined::NoMemory;
    loop {
        let changed = gateway.queue().changed();
        match waiting.turn() {
            Turn::Try { patience, reserve } => {
                match gateway.place_from_queue(request, tried, patience, reserve) {
                    Ok(placement) => {
                        *ticket = Some(waiting);
                        return Ok(placement);
                    }
                    Err(Declined::Evacuated) => return Err(Declined::Evacuated.into()),
                    Err(reason) => declined = reason,
                }
                if gateway.phase() != Phase::Serving {
                    return Err(refuse_waiting(
                        gateway,
                        request,
                        waiting,
                        Reason::Stopping,
                        declined,
                    ));
                }
                waiting.declined(declined, gateway.room_in(request));
            }
            Turn::Wait { until } => {
                tokio::select! {
                    () = changed => {}
                    () = tokio::time::sleep_until(gateway.instant(until)) => {}
                    _ = phase.changed() => {
                        return Err(refuse_waiting(
                            gateway, request, waiting, Reason::Stopping, declined,
                        ));
                    }
                }
            }
            Turn::Refuse(reason) => {
                return Err(refuse_waiting(gateway, request, waiting, reason, declined));
            }
        }
    }
}

/// Places a request whose service has no order of priority. If the servers have no memory for it, or
/// if it would cost other requests too much, waits up to a fraction of its target latency: prompts of
/// that size are few and memory is freed soon.
async fn place_unordered(
    gateway: &Rc<Gateway>,
    request: &Rc<Request>,
    tried: &[runner::Id],
) -> Result<Placement, Declined> {
    let deadline = request.arrived + request.route.target_latency.mul_f64(WAIT_FRACTION);
    loop {
        let placement = gateway.place(request, tried);
        let full = matches!(placement, Err(Declined::NoMemory | Declined::TooCostly { .. }));
        if !full || !gateway.may_fit_later(request) || gateway.now() >= deadline {
            return placement;
        }
        tokio::time::sleep(MEMORY_POLL_INTERVAL).await;
    }
}

/// Refuses a request of the queue.
fn refuse_waiting(
    gateway: &Gateway,
    request: &Request,
    ticket: Ticket,
    reason: Reason,
    declined: Declined,
) -> Unplaced {
    let refusal = ticket.refuse(reason, gateway.memory_retry_delay(request));
    Unplaced { declined, reason: Some(reason), retry_after: refusal.map(|r| r.retry_after) }
}

/// Returns the refusal of a request that could not be placed, and logs the reason.
pub fn decline(
    gateway: &Gateway,
    request: &Request,
    attempt: Attempt<Unsent>,
    unplaced: Unplaced,
) -> Refusal {
    let declined = unplaced.declined;
    let (others, gain) = match declined {
        Declined::TooCostly { others, gain } => (others, gain),
        Declined::NoServer | Declined::Evacuated | Declined::NoMemory => (0.0, 0.0),
    };
    info!(
        target: "request", id = request.metadata.id, reason:% = declined, others, gain,
        prompt = request.metadata.prompt.map_or(0, |p| p.tokens.get()),
        peers = gateway.peers_alive(), rate_limited = gateway.rate_limits().borrow().limited(),
        ms = gateway.now().since(request.arrived).as_millis() as u64;
        "request could not be placed"
    );
    match declined {
        Declined::NoServer => {
            let delay = gateway.time_until_accepted(request).unwrap_or(NO_SERVER_RETRY_DELAY);
            refuse_with_delay(attempt, Kind::NoRunner, delay)
        }
        Declined::Evacuated => {
            refuse_with_delay(attempt, Kind::Evacuated, outage_retry_delay(rand::random()))
        }
        Declined::NoMemory | Declined::TooCostly { .. } => {
            let kind = match unplaced.reason {
                Some(Reason::Stopping) => Kind::Stopping,
                _ => Kind::MemoryFull,
            };
            let usual = || match kind {
                Kind::Stopping => gateway.stop_retry_delay(),
                _ => gateway.memory_retry_delay(request),
            };
            refuse_with_delay(attempt, kind, unplaced.retry_after.unwrap_or_else(usual))
        }
    }
}

/// Returns a refusal with the usual retry delay. It states that the request has not run only if
/// that is proved.
pub fn refuse(attempt: Attempt<Unsent>, kind: Kind) -> Refusal {
    refuse_with_delay(attempt, kind, NO_SERVER_RETRY_DELAY)
}

/// Returns the answer of a stopping daemon to a request without a response. A request that may have
/// run is answered as one whose deadline has passed.
pub fn refuse_stopping(gateway: &Gateway, attempt: Attempt<Unsent>) -> Refusal {
    match attempt.not_started() {
        Some(proof) => Refusal::not_run(proof, Kind::Stopping, gateway.stop_retry_delay()),
        None => Refusal::may_have_run(Kind::DeadlineExceeded),
    }
}

/// Returns a refusal. Only if it is proved that the request has not run does the refusal say so and
/// carry a retry delay.
fn refuse_with_delay(attempt: Attempt<Unsent>, kind: Kind, retry_after: Duration) -> Refusal {
    match attempt.not_started() {
        Some(proof) => Refusal::not_run(proof, kind, retry_after),
        None => Refusal::may_have_run(kind),
    }
}
