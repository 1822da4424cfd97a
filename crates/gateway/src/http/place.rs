//! Waits for the placement of a request and refuses requests that cannot be placed.

use std::rc::Rc;
use std::time::Duration;

use kumquattiller_base::attempt::Attempt;
use kumquattiller_base::attempt::Unsent;
use kumquattiller_base::error::Kind;
use kumquattiller_base::runner;
use log::info;

use crate::Gateway;
use crate::http::Refusal;
use crate::http::Request;
use crate::http::outage_retry_delay;
use crate::placement::Declined;
use crate::placement::Placement;

/// Fraction of its target latency for which a request waits for free memory on the servers.
const MEMORY_WAIT_FRACTION: f64 = 0.35;
/// Interval at which a waiting request is placed again.
const MEMORY_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Retry delay for callers when no server accepts the request.
const NO_SERVER_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Places a request. If the servers have no memory for it, or if it would cost other requests too
/// much, waits up to a fraction of its target latency: prompts of that size are few and memory is
/// freed soon.
///
/// # Errors
///
/// Fails if the request cannot be placed within that time.
pub async fn place(
    gateway: &Rc<Gateway>,
    request: &Rc<Request>,
    tried: &[runner::Id],
) -> Result<Placement, Declined> {
    let deadline = request.arrived + request.route.target_latency.mul_f64(MEMORY_WAIT_FRACTION);
    loop {
        let placement = gateway.place(request, tried);
        let full = matches!(placement, Err(Declined::NoMemory | Declined::TooCostly { .. }));
        if !full || !gateway.may_fit_later(request) || gateway.now() >= deadline {
            return placement;
        }
        tokio::time::sleep(MEMORY_POLL_INTERVAL).await;
    }
}

/// Returns the refusal of a request that could not be placed, and logs the reason.
pub fn decline(
    gateway: &Gateway,
    request: &Request,
    attempt: Attempt<Unsent>,
    declined: Declined,
) -> Refusal {
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
            refuse_with_delay(attempt, Kind::MemoryFull, gateway.memory_retry_delay(request))
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
