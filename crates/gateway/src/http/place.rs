//! Where a request goes, and its refusal where it goes nowhere.

use std::rc::Rc;
use std::time::Duration;

use kumquattiller_base::attempt::Attempt;
use kumquattiller_base::attempt::Unsent;
use kumquattiller_base::error::Kind;
use kumquattiller_base::runner;
use log::info;

use crate::Gateway;
use crate::http::Job;
use crate::http::Refusal;
use crate::placement::Declined;
use crate::placement::Placement;

/// Part of its aim that a request waits for room in the servers' memory.
const ROOM_WAIT_PART: f64 = 0.35;
/// Time between two looks for room.
const ROOM_PAUSE: Duration = Duration::from_millis(100);
/// When to come again where no server takes the request now.
const NO_SERVER_RETRY: Duration = Duration::from_millis(400);

/// Places a request. One that the servers' memory does not hold now, or only at the cost of
/// others, waits a part of its aim for room: prompts of that size are few and room comes soon.
pub async fn place(
    gateway: &Rc<Gateway>,
    job: &Rc<Job>,
    tried: &[runner::Id],
) -> Result<Placement, Declined> {
    let end = job.arrived + job.route.target_latency.mul_f64(ROOM_WAIT_PART);
    loop {
        let placement = gateway.place(job, tried);
        let full = matches!(placement, Err(Declined::NoRoom | Declined::TooCostly { .. }));
        if !full || !gateway.may_find_room(job) || gateway.now() >= end {
            return placement;
        }
        tokio::time::sleep(ROOM_PAUSE).await;
    }
}

/// Refuses a request that is placed nowhere.
pub fn decline(
    gateway: &Gateway,
    job: &Job,
    attempt: Attempt<Unsent>,
    declined: Declined,
) -> Refusal {
    let (others, gain) = match declined {
        Declined::TooCostly { others, gain } => (others, gain),
        Declined::NoServer | Declined::NoRoom => (0.0, 0.0),
    };
    info!(
        target: "request", id = job.ask.id, reason:% = declined, others, gain,
        prompt = job.ask.prompt.map_or(0, |p| p.tokens.get()), peers = gateway.peers_alive(),
        ms = gateway.now().since(job.arrived).as_millis() as u64;
        "no place"
    );
    match declined {
        Declined::NoServer => refuse(attempt, Kind::NoRunner),
        Declined::NoRoom | Declined::TooCostly { .. } => {
            refuse_until(attempt, Kind::MemoryFull, gateway.room_retry(job))
        }
    }
}

/// Refuses a request that another server may take soon; says that it has not run only where that
/// is proved.
pub fn refuse(attempt: Attempt<Unsent>, kind: Kind) -> Refusal {
    refuse_until(attempt, kind, NO_SERVER_RETRY)
}

/// Refuses a request; says that it has not run only where that is proved.
fn refuse_until(attempt: Attempt<Unsent>, kind: Kind, retry_after: Duration) -> Refusal {
    match attempt.not_started() {
        Some(proof) => Refusal::not_run(proof, kind, retry_after),
        None => Refusal::maybe_run(kind),
    }
}
