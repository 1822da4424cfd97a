//! Reserves memory on several engines, all or nothing.

use std::collections::VecDeque;
use std::time::Duration;

use kumquattiller_base::error;
use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;
use kumquattiller_routing::long::Action;
use kumquattiller_routing::long::Event;
use kumquattiller_routing::long::Part;
use kumquattiller_routing::long::Reservation;
use kumquattiller_wire::Attempt;
use kumquattiller_wire::link;
use tokio::time::sleep_until;

use crate::drive::Driver;
use crate::drive::long::Allocation;
use crate::runners::Reply;

/// Divisor of the time left to the deadline: the memory must be reserved within this part of it.
const RESERVE_TIME_DIVISOR: u32 = 2;

/// Why no memory was reserved, and when to retry.
pub type Refusal = (error::Kind, Option<Duration>);

impl Driver {
    /// Reserves memory for the request on a set of engines; returns the part of each engine.
    ///
    /// # Errors
    ///
    /// Fails if the prompt is too large for any set of engines, if the engines do not reserve the
    /// memory in time, or if the caller disconnects.
    pub(in crate::drive) async fn reserve_memory(
        &mut self,
        attempt: Attempt,
    ) -> Result<(Allocation, Vec<Part>), Refusal> {
        let now = self.daemon.now();
        let footprint = self.request.prompt_tokens.saturating_add(self.request.max_tokens);
        let start_by = now + self.request.deadline.remaining(now) / RESERVE_TIME_DIVISOR;
        let routes = self.daemon.runners().routes();
        let started = routes.begin_reservation(&self.request.service, footprint, start_by, now);
        let Ok((mut reservation, actions)) = started else {
            return Err((error::Kind::PromptTooLarge, None));
        };
        let mut allocation = Allocation::new();
        let mut actions = VecDeque::from(actions);
        let mut wake_at = now;
        loop {
            while let Some(action) = actions.pop_front() {
                match action {
                    Action::Reserve(part) => {
                        if !self.request_part(&mut allocation, attempt, &part).await {
                            let lost = Event::Lost(part.runner);
                            actions.extend(self.advance(&mut reservation, lost));
                        }
                    }
                    Action::Release(runner) => allocation.release(&runner),
                    Action::Ready(parts) => return Ok((allocation, parts)),
                    Action::Wake(moment) => wake_at = moment,
                    Action::Fail { kind, retry_after } => return Err((kind, Some(retry_after))),
                }
            }
            let event = tokio::select! {
                event = next_event(&mut allocation) => event,
                () = sleep_until(self.daemon.clock().instant(wake_at)) => Some(Event::Tick),
                () = self.output.closed(), if self.request.idempotent => {
                    return Err((error::Kind::Cancelled, None));
                }
            };
            if let Some(event) = event {
                actions.extend(self.advance(&mut reservation, event));
            }
        }
    }

    /// Asks a runner to reserve its part. Returns `false` if there is no open link to it.
    async fn request_part(
        &self,
        allocation: &mut Allocation,
        attempt: Attempt,
        part: &Part,
    ) -> bool {
        let Some(mut call) = self.daemon.runners().call(&part.runner) else {
            return false;
        };
        let reserve = reserve_frame(allocation.id(), attempt, part.tokens, self.reservation_ttl());
        if call.reserve(attempt, reserve).await.is_err() {
            return false;
        }
        self.note(&format!("asked runner {} to set {} aside", part.runner, part.tokens));
        allocation.add_call(part.runner.clone(), call);
        true
    }

    fn advance(&self, reservation: &mut Reservation, event: Event) -> Vec<Action> {
        let now: Moment = self.daemon.now();
        let routes = self.daemon.runners().routes();
        routes.advance_reservation(&self.request.service, reservation, event, now)
    }

    /// Returns how long a runner keeps the reservation if it is never released.
    fn reservation_ttl(&self) -> Duration {
        self.request.deadline.moment().since(self.daemon.now())
    }
}

/// Waits for the next reply; returns its event, or `None` if it is not about the reservation.
async fn next_event(allocation: &mut Allocation) -> Option<Event> {
    let (runner, reply) = allocation.next_reply().await;
    match reply {
        None => Some(Event::Lost(runner)),
        Some(Reply::Reserved { granted: true }) => Some(Event::Granted(runner)),
        Some(Reply::Reserved { granted: false }) => Some(Event::Refused(runner)),
        Some(_) => None,
    }
}

fn reserve_frame(id: u64, attempt: Attempt, tokens: Tokens, ttl: Duration) -> link::Reserve {
    link::Reserve {
        reservation: id,
        tokens: tokens.get(),
        ttl_ms: ttl.as_millis() as u64,
        attempt: Some(attempt.into()),
    }
}
