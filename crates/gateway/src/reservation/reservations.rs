use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use hyper::StatusCode;
use kumquattiller_base::runner;
use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;
use log::info;
use tokio::task::JoinHandle;

use crate::Gateway;
use crate::dialect::Reservation;
use crate::http::Request;
use crate::placement::Placement;
use crate::reservation::Held;
use crate::reservation::Usage;
use crate::reservation::renewal;
use crate::reservation::renewal::LIFETIME;

/// The reservations of one request, which are released on drop.
#[derive(Debug)]
pub struct Reservations {
    gateway: Rc<Gateway>,
    held: Vec<Held>,
    renewal: Option<JoinHandle<()>>,
    usage: Rc<Usage>,
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
        request: &Request,
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
        request: &Request,
        parts: &[(runner::Id, Tokens)],
    ) -> Option<Self> {
        let mut reservations = Self {
            gateway: gateway.clone(),
            held: Vec::new(),
            renewal: None,
            usage: Rc::new(Usage::new(unused_limit(gateway, request), gateway.now())),
        };
        let mut parts = parts.to_vec();
        parts.sort();
        let ticket_id: u64 = rand::random();
        for (id, tokens) in parts {
            gateway.wait_until_evacuations_confirmed().await;
            let server = gateway.fleet().borrow().server(&id).cloned()?;
            if let Some(reason) = gateway.withheld_from(request, &server, &[]) {
                info!(
                    target: "request", id = request.metadata.id, server:% = id, reason:%;
                    "memory is not reserved, the server has been excluded"
                );
                return None;
            }
            let ticket = format!("{ticket_id:016x}");
            let now = gateway.now();
            let hold = LIFETIME.min(reservations.usage.ends_at().since(now));
            let reservation = Reservation { ticket, tokens, hold };
            let usage = reservations.usage.clone();
            let held = Held::new(server, reservation, usage, now);
            reservations.held.push(held.clone());
            let status = held.make(gateway).await;
            if status != Some(StatusCode::OK) {
                let status = status.map_or(0, |s| s.as_u16());
                info!(
                    target: "request", id = request.metadata.id, server:% = id, tokens:%, status;
                    "memory could not be reserved"
                );
                return None;
            }
        }
        info!(
            target: "request", id = request.metadata.id, ticket = format!("{ticket_id:016x}"),
            servers = reservations.server_names();
            "memory reserved"
        );
        reservations.renewal =
            Some(tokio::task::spawn_local(renew(gateway.clone(), reservations.held.clone())));
        Some(reservations)
    }

    /// Records a sign that the memory is used.
    pub fn record_use(&self) {
        self.usage.record(self.gateway.now());
    }

    /// Returns the time until which the memory stays reserved without another sign of use.
    pub fn ends_at(&self) -> Moment {
        self.usage.ends_at()
    }

    /// Returns the ids of the servers that hold memory, for the log.
    fn server_names(&self) -> String {
        let names: Vec<&str> = self.held.iter().map(|held| held.server.id.as_str()).collect();
        names.join(" ")
    }

    /// Returns the ticket of the reservation at a server.
    pub fn at(&self, server: &runner::Id) -> Option<String> {
        let at_server = self.held.iter().find(|held| held.server.id == *server);
        at_server.map(|held| held.reservation.ticket.clone())
    }
}

impl Drop for Reservations {
    fn drop(&mut self) {
        if let Some(renewal) = self.renewal.take() {
            renewal.abort();
            let unused = self.usage.longest_unused(self.gateway.now());
            self.gateway.metrics().memory_unused(unused);
            if let Some(held) = self.held.first() {
                info!(
                    target: "request", ticket = held.reservation.ticket,
                    unused_ms = unused.as_millis() as u64;
                    "memory released"
                );
            }
        }
        for held in self.held.drain(..) {
            let gateway = self.gateway.clone();
            tokio::task::spawn_local(async move { held.release(&gateway).await });
        }
    }
}

/// Returns the time for which the memory of a request may show no use. A stream shows by its events
/// that it is used, any other response shows nothing before its end.
fn unused_limit(gateway: &Gateway, request: &Request) -> Duration {
    match request.route.streaming {
        true => gateway.settings().unused_memory_limit(),
        false => request.time_left(gateway.now()),
    }
}

async fn renew(gateway: Rc<Gateway>, held: Vec<Held>) {
    loop {
        tokio::time::sleep(renewal::CHECK_INTERVAL).await;
        join_all(held.iter().map(|reservation| reservation.renew_if_due(&gateway))).await;
    }
}
