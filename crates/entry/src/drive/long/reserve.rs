//! Sets memory aside on several engines.

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
use crate::drive::long::Holding;
use crate::runners::Reply;

/// Share of the time left in which the memory must be set aside, as a divisor.
const RESERVE_SHARE: u32 = 2;

/// Why no memory was set aside.
pub type Refusal = (error::Kind, Option<Duration>);

impl Driver {
    /// Sets memory aside for the request on a set of engines, or tells why not.
    pub(in crate::drive) async fn reserve(
        &mut self,
        attempt: Attempt,
    ) -> Result<(Holding, Vec<Part>), Refusal> {
        let now = self.daemon.now();
        let footprint = self.request.prompt.saturating_add(self.request.max_tokens);
        let start_by = now + self.request.deadline.remaining(now) / RESERVE_SHARE;
        let routes = self.daemon.runners().routes();
        let begun = routes.begin_reservation(&self.request.service, footprint, start_by, now);
        let Ok((mut reservation, actions)) = begun else {
            return Err((error::Kind::PromptTooLarge, None));
        };
        let mut holding = Holding::new();
        let mut actions = VecDeque::from(actions);
        let mut wake = now;
        loop {
            while let Some(action) = actions.pop_front() {
                match action {
                    Action::Reserve(part) => {
                        if !self.ask(&mut holding, attempt, &part).await {
                            let lost = Event::Lost(part.runner);
                            actions.extend(self.advance(&mut reservation, lost));
                        }
                    }
                    Action::Release(runner) => holding.release(&runner),
                    Action::Ready(parts) => return Ok((holding, parts)),
                    Action::Wake(moment) => wake = moment,
                    Action::Fail { kind, retry_after } => return Err((kind, Some(retry_after))),
                }
            }
            let event = tokio::select! {
                event = next(&mut holding) => event,
                () = sleep_until(self.daemon.clock().instant(wake)) => Some(Event::Tick),
                () = self.output.closed(), if self.request.idempotent => {
                    return Err((error::Kind::Cancelled, None));
                }
            };
            if let Some(event) = event {
                actions.extend(self.advance(&mut reservation, event));
            }
        }
    }

    /// Asks a runner for its part; returns false when it cannot be asked.
    async fn ask(&self, holding: &mut Holding, attempt: Attempt, part: &Part) -> bool {
        let Some(mut call) = self.daemon.runners().call(&part.runner) else {
            return false;
        };
        let reserve = reserve_frame(holding.id(), attempt, part.tokens, self.ttl());
        if call.reserve(attempt, reserve).await.is_err() {
            return false;
        }
        self.note(&format!("asked runner {} to set {} aside", part.runner, part.tokens));
        holding.add(part.runner.clone(), call);
        true
    }

    fn advance(&self, reservation: &mut Reservation, event: Event) -> Vec<Action> {
        let now: Moment = self.daemon.now();
        let routes = self.daemon.runners().routes();
        routes.advance_reservation(&self.request.service, reservation, event, now)
    }

    /// Returns how long memory stays set aside when nobody gives it back.
    fn ttl(&self) -> Duration {
        self.request.deadline.moment().since(self.daemon.now())
    }
}

/// Returns what the next reply means, if anything.
async fn next(holding: &mut Holding) -> Option<Event> {
    let (runner, reply) = holding.reply().await;
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
