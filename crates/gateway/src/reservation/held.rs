use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use kumquattiller_base::time::Moment;
use log::info;
use log::warn;

use crate::Gateway;
use crate::dialect::Reservation;
use crate::fleet::Server;
use crate::reservation::Call;
use crate::reservation::Release;
use crate::reservation::Usage;
use crate::reservation::call;
use crate::reservation::renewal;

/// A reservation that a server holds, or may hold if it did not respond. Clones stand for the same
/// one.
#[derive(Debug, Clone)]
pub(super) struct Held {
    pub(super) server: Server,
    pub(super) reservation: Reservation,
    expires_at: Rc<Cell<Moment>>,
    /// When the last call to make or renew it was sent that got no response.
    unanswered_at: Rc<Cell<Option<Moment>>>,
    /// Until when the memory stays reserved without a sign of use.
    usage: Rc<Usage>,
}

impl Held {
    /// Creates a reservation that is being made now.
    pub(super) fn new(
        server: Server,
        reservation: Reservation,
        usage: Rc<Usage>,
        now: Moment,
    ) -> Self {
        let expires_at = Rc::new(Cell::new(now + reservation.hold));
        Self { server, reservation, expires_at, unanswered_at: Rc::default(), usage }
    }

    /// Makes the reservation; returns the status, or `None` if there is no response.
    pub(super) async fn make(&self, gateway: &Gateway) -> Option<StatusCode> {
        self.reserve(gateway, &self.reservation).await
    }

    async fn reserve(&self, gateway: &Gateway, reservation: &Reservation) -> Option<StatusCode> {
        let server = &self.server;
        // The call counts as unanswered from now on, since it may be cancelled.
        let before = self.unanswered_at.replace(Some(gateway.now()));
        let reserving = call(gateway, server, |g| g.dialect().reserve(&server.id, reservation));
        match reserving.await {
            Call::Answered(status) => {
                self.unanswered_at.set(before);
                Some(status)
            }
            Call::NotSent => {
                self.unanswered_at.set(before);
                None
            }
            Call::Unanswered => None,
        }
    }

    /// Renews the reservation if that is due and not past the time until which its memory may show no
    /// use. In a pause of the server the renewal has to last until the pause is over.
    pub(super) async fn renew_if_due(&self, gateway: &Gateway) {
        let now = gateway.now();
        let Some(hold) = self.renewal_due(gateway, now) else {
            return;
        };
        if !gateway.allow_call(&self.server.id) {
            return;
        }
        let renewed = Reservation { hold, ..self.reservation.clone() };
        match self.reserve(gateway, &renewed).await {
            Some(StatusCode::OK) => self.expires_at.set(now + hold),
            _ => warn!(target: "fleet", server:% = self.server.id; "reservation was not renewed"),
        }
    }

    /// Returns the lifetime for which the reservation is renewed now, if that is due.
    fn renewal_due(&self, gateway: &Gateway, now: Moment) -> Option<Duration> {
        let left = self.expires_at.get().since(now);
        let pause = gateway.pause_left(&self.server.id);
        let lifetime = renewal::due(left, pause, gateway.is_rate_limited(&self.server.id))?;
        let lifetime = lifetime.min(self.usage.ends_at().since(now));
        (lifetime > left).then_some(lifetime)
    }

    /// Releases the reservation until the server can hold nothing for it any more, unless it expires
    /// before the server may be called.
    pub(super) async fn release(self, gateway: &Gateway) {
        let mut release = Release::new(self.expires_at.get(), self.unanswered_at.get());
        let mut unanswered = 0;
        while let Some(at) = release.next_call(gateway.now()) {
            tokio::time::sleep_until(gateway.instant(at)).await;
            if self.has_server_restarted(gateway) {
                break;
            }
            if !self.wait_until_allowed(gateway).await {
                info!(
                    target: "fleet", server:% = self.server.id;
                    "reservation is left to expire during the pause of its server"
                );
                return;
            }
            let (server, ticket) = (&self.server, &self.reservation.ticket);
            let released = call(gateway, server, |g| g.dialect().release(&server.id, ticket)).await;
            let is_answered = matches!(released, Call::Answered(_));
            unanswered += u32::from(!is_answered);
            release.record_call(gateway.now(), is_answered);
        }
        if unanswered > 0 || self.unanswered_at.get().is_some() {
            info!(
                target: "fleet", server:% = self.server.id, ticket = self.reservation.ticket,
                unanswered_releases = unanswered, may_come_late = self.unanswered_at.get().is_some();
                "reservation is over after calls without a response"
            );
        }
    }

    /// Returns whether the server has started again since, so that it holds nothing.
    fn has_server_restarted(&self, gateway: &Gateway) -> bool {
        let fleet = gateway.fleet().borrow();
        let server = fleet.server(&self.server.id);
        server.is_some_and(|server| server.start_key() != self.server.start_key())
    }

    /// Waits until the server may be called; returns whether the reservation is still held then.
    async fn wait_until_allowed(&self, gateway: &Gateway) -> bool {
        while !gateway.allow_call(&self.server.id) {
            let left = self.expires_at.get().since(gateway.now());
            if left.is_zero() {
                return false;
            }
            let pause = gateway.pause_left(&self.server.id);
            tokio::time::sleep(pause.min(left).max(Duration::from_millis(1))).await;
        }
        true
    }
}
