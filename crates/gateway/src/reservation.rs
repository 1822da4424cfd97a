//! Reservations of server memory for the parts of a prompt that exceeds the memory of one engine.
//!
//! The daemon generates the id of a reservation, its ticket, and sends it with the request to the
//! server that runs it, together with the address of the helper that holds the memory.
//!
//! A reservation expires after a short time and is renewed while the request is in progress, so
//! that a daemon that crashes or freezes does not block memory for long. The reservations of a
//! request are made one after the other, ordered by server id. No server queues a reservation:
//! either all succeed at once or all are released.

use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use kumquattiller_base::runner;
use kumquattiller_base::size::Tokens;
use log::info;
use log::warn;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::Gateway;
use crate::dialect::Reservation;
use crate::fleet::Server;
use crate::http::Connection;
use crate::placement::Placement;

/// Lifetime of a reservation without renewal. It must be shorter than the time for which memory may
/// stay reserved after its request has ended.
const LIFETIME: Duration = Duration::from_millis(3_500);
/// Interval between renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval between renewals at a server that limits its rate.
const LIMITED_RENEWAL_INTERVAL: Duration = Duration::from_millis(2_000);
/// Timeout of one call to a server.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Number of attempts to release a reservation.
const MAX_RELEASE_ATTEMPTS: u32 = 3;

/// The reservations of one request, which are released on drop.
#[derive(Debug)]
pub struct Reservations {
    gateway: Rc<Gateway>,
    held: Vec<(Server, Reservation)>,
    renewal: Option<JoinHandle<()>>,
}

/// Error for a reservation that a server refused or did not confirm in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoMemory;

impl Reservations {
    /// Reserves the memory that a placement needs at its holders; returns `None` if it has no
    /// holders.
    ///
    /// # Errors
    ///
    /// Returns an error if a reservation fails. Reservations made before it are released.
    pub async fn make(
        gateway: &Rc<Gateway>,
        request: &str,
        placement: &Placement,
    ) -> Result<Option<Self>, NoMemory> {
        if placement.holders.is_empty() {
            return Ok(None);
        }
        Self::reserve(gateway, request, &placement.holders).await.map(Some).ok_or(NoMemory)
    }

    /// Reserves memory at each server; returns `None` and releases everything if one of them fails.
    async fn reserve(
        gateway: &Rc<Gateway>,
        request: &str,
        parts: &[(runner::Id, Tokens)],
    ) -> Option<Self> {
        let mut reservations = Self { gateway: gateway.clone(), held: Vec::new(), renewal: None };
        let mut parts = parts.to_vec();
        parts.sort();
        let ticket_id: u64 = rand::random();
        for (id, tokens) in parts {
            let server = gateway.fleet().borrow().server(&id).cloned()?;
            if gateway.is_paused(&id) {
                info!(
                    target: "request", id = request, server:% = id;
                    "memory is not reserved, the server has asked for a pause"
                );
                return None;
            }
            let ticket = format!("{ticket_id:016x}");
            let reservation = Reservation { ticket, tokens, hold: LIFETIME };
            reservations.held.push((server.clone(), reservation.clone()));
            let status = call(gateway, &server, |g| g.dialect().reserve(&id, &reservation)).await;
            if status != Some(StatusCode::OK) {
                let status = status.map_or(0, |s| s.as_u16());
                info!(
                    target: "request", id = request, server:% = id, tokens:%, status;
                    "memory could not be reserved"
                );
                return None;
            }
        }
        info!(
            target: "request", id = request, servers = reservations.held.len();
            "memory reserved"
        );
        reservations.renewal =
            Some(tokio::task::spawn_local(renew(gateway.clone(), reservations.held.clone())));
        Some(reservations)
    }

    /// Returns the ticket of the reservation at a server.
    pub fn at(&self, server: &runner::Id) -> Option<String> {
        self.held.iter().find(|(s, _)| s.id == *server).map(|(_, r)| r.ticket.clone())
    }
}

impl Drop for Reservations {
    fn drop(&mut self) {
        if let Some(renewal) = self.renewal.take() {
            renewal.abort();
        }
        for (server, reservation) in self.held.drain(..) {
            tokio::task::spawn_local(release(self.gateway.clone(), server, reservation.ticket));
        }
    }
}

async fn renew(gateway: Rc<Gateway>, held: Vec<(Server, Reservation)>) {
    let mut renewed_at = vec![gateway.now(); held.len()];
    loop {
        tokio::time::sleep(RENEWAL_INTERVAL).await;
        for ((server, reservation), renewed_at) in held.iter().zip(&mut renewed_at) {
            let now = gateway.now();
            if now.since(*renewed_at) < renewal_interval(&gateway, server) {
                continue;
            }
            let status =
                call(&gateway, server, |g| g.dialect().reserve(&server.id, reservation)).await;
            match status {
                Some(StatusCode::OK) => *renewed_at = now,
                _ => warn!(target: "fleet", server:% = server.id; "reservation was not renewed"),
            }
        }
    }
}

fn renewal_interval(gateway: &Gateway, server: &Server) -> Duration {
    match gateway.is_rate_limited(&server.id) {
        true => LIMITED_RENEWAL_INTERVAL,
        false => RENEWAL_INTERVAL,
    }
}

async fn release(gateway: Rc<Gateway>, server: Server, ticket: String) {
    for _ in 0..MAX_RELEASE_ATTEMPTS {
        if call(&gateway, &server, |g| g.dialect().release(&server.id, &ticket)).await.is_some() {
            return;
        }
    }
    warn!(target: "fleet", server:% = server.id, ticket; "reservation could not be released");
}

/// Makes one call on a new connection; returns the status, or `None` if there is no response.
async fn call(
    gateway: &Gateway,
    server: &Server,
    request: impl Fn(&Gateway) -> hyper::Request<http_body_util::Full<bytes::Bytes>>,
) -> Option<StatusCode> {
    let exchange = async {
        let mut connection = Connection::open(&server.id, server.address, CALL_TIMEOUT).await?;
        gateway.count_reservation_call(&server.id);
        let sent_at = gateway.now();
        let sent = connection.sender.send_request(request(gateway)).await;
        let response = sent.map_err(std::io::Error::other)?;
        let info = gateway.dialect().response_info(response.status(), response.headers());
        gateway.apply_server_state(server, &info);
        gateway.apply_rate_limit(server, info.rate_limit, sent_at);
        Ok::<_, std::io::Error>(response.status())
    };
    match timeout(CALL_TIMEOUT, exchange).await {
        Ok(Ok(status)) => Some(status),
        Ok(Err(error)) => {
            info!(target: "fleet", server:% = server.id, error:%; "reservation call failed");
            None
        }
        Err(_) => {
            info!(target: "fleet", server:% = server.id; "reservation call timed out");
            None
        }
    }
}
