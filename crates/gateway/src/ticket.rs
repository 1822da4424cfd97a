//! Memory of servers that is reserved for a part of a prompt.
//!
//! Reservations are short and renewed while the request lives, so that a daemon that dies or
//! freezes leaves nothing behind for long. They are made one after the other in the order of the
//! servers' ids, and never wait at a server: either all are there at once or none is kept.

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

/// How long a reservation lasts without being renewed: less than memory may stay set aside after
/// its request has ended.
const HOLD: Duration = Duration::from_millis(3_500);
/// Time between two renewals.
const RENEWAL: Duration = Duration::from_millis(1_000);
/// Longest time of one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Tries to end a reservation.
const RELEASE_TRIES: u32 = 3;

/// The reservations of one request; dropping it ends them.
#[derive(Debug)]
pub struct Tickets {
    gateway: Rc<Gateway>,
    held: Vec<(Server, Reservation)>,
    renewal: Option<JoinHandle<()>>,
}

/// A server has no room for its part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoRoom;

impl Tickets {
    /// Reserves the memory that a placement needs beside its own server; none where it needs none.
    ///
    /// # Errors
    ///
    /// Fails when a server has no room; then nothing is kept.
    pub async fn of(
        gateway: &Rc<Gateway>,
        request: &str,
        placement: &Placement,
    ) -> Result<Option<Self>, NoRoom> {
        if placement.holders.is_empty() {
            return Ok(None);
        }
        Self::reserve(gateway, request, &placement.holders).await.map(Some).ok_or(NoRoom)
    }

    /// Reserves memory at each server, all or nothing; returns none when one has no room.
    async fn reserve(
        gateway: &Rc<Gateway>,
        request: &str,
        parts: &[(runner::Id, Tokens)],
    ) -> Option<Self> {
        let mut tickets = Self { gateway: gateway.clone(), held: Vec::new(), renewal: None };
        let mut parts = parts.to_vec();
        parts.sort();
        let name: u64 = rand::random();
        for (id, tokens) in parts {
            let server = gateway.fleet().borrow().server(&id).cloned()?;
            let ticket = format!("{name:016x}");
            let reservation = Reservation { ticket, tokens, hold: HOLD };
            tickets.held.push((server.clone(), reservation.clone()));
            let answer = call(gateway, &server, |g| g.dialect().reserve(&id, &reservation)).await;
            if answer != Some(StatusCode::OK) {
                let status = answer.map_or(0, |s| s.as_u16());
                info!(target: "request", id = request, server:% = id, tokens:%, status; "no memory");
                return None;
            }
        }
        info!(target: "request", id = request, servers = tickets.held.len(); "memory reserved");
        tickets.renewal =
            Some(tokio::task::spawn_local(renew(gateway.clone(), tickets.held.clone())));
        Some(tickets)
    }

    /// Returns the ticket at a server.
    pub fn at(&self, server: &runner::Id) -> Option<String> {
        self.held.iter().find(|(s, _)| s.id == *server).map(|(_, r)| r.ticket.clone())
    }
}

impl Drop for Tickets {
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
    loop {
        tokio::time::sleep(RENEWAL).await;
        for (server, reservation) in &held {
            let answer =
                call(&gateway, server, |g| g.dialect().reserve(&server.id, reservation)).await;
            if answer != Some(StatusCode::OK) {
                warn!(target: "fleet", server:% = server.id; "a reservation was not renewed");
            }
        }
    }
}

async fn release(gateway: Rc<Gateway>, server: Server, ticket: String) {
    for _ in 0..RELEASE_TRIES {
        if call(&gateway, &server, |g| g.dialect().release(&server.id, &ticket)).await.is_some() {
            return;
        }
    }
    warn!(target: "fleet", server:% = server.id, ticket; "a reservation could not be ended");
}

/// Makes one call on a connection of its own; returns the status, none without an answer.
async fn call(
    gateway: &Gateway,
    server: &Server,
    request: impl Fn(&Gateway) -> hyper::Request<http_body_util::Full<bytes::Bytes>>,
) -> Option<StatusCode> {
    let exchange = async {
        let mut connection = Connection::open(&server.id, server.address, CALL_TIMEOUT).await?;
        let sent = connection.sender.send_request(request(gateway)).await;
        sent.map(|response| response.status()).map_err(std::io::Error::other)
    };
    match timeout(CALL_TIMEOUT, exchange).await {
        Ok(Ok(status)) => Some(status),
        Ok(Err(error)) => {
            info!(target: "fleet", server:% = server.id, error:%; "an order failed");
            None
        }
        Err(_) => {
            info!(target: "fleet", server:% = server.id; "an order got no answer");
            None
        }
    }
}
