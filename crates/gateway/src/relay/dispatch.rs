use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use kumquattiller_base::time::Moment;
use log::info;

use crate::Gateway;
use crate::dialect::Helper;
use crate::fleet::Exclusion;
use crate::fleet::Server;
use crate::freshness;
use crate::health::Outcome;
use crate::http::Request;
use crate::load::Key;
use crate::placement::Placement;
use crate::placement::Reason;
use crate::reservation::Reservations;

/// One attempt of a request at the server on which it was placed. Dropping it removes the request
/// from the load.
#[derive(Debug)]
pub struct Dispatch {
    gateway: Rc<Gateway>,
    request: Rc<Request>,
    placement: Placement,
    helpers: Vec<Helper>,
    /// Memory reservations, released on drop.
    reservations: Option<Reservations>,
    key: Key,
    /// Expected length of a pass of the server as of the last event or the start, if it is known.
    expected_pass: Cell<Option<Duration>>,
    /// When the last part of the response arrived.
    last_progress: Cell<Option<Moment>>,
    /// Whether part of the response has arrived, so that the server has computed the prompt.
    prompt_computed: Cell<bool>,
    /// When it was placed.
    pub started: Moment,
}

impl Dispatch {
    /// Adds a request to the load of the servers that it was placed on.
    pub fn start(
        gateway: &Rc<Gateway>,
        request: &Rc<Request>,
        placement: &Placement,
        reservations: Option<Reservations>,
    ) -> Self {
        let now = gateway.now();
        let expected_pass = gateway.expected_pass(request, &placement.server);
        let key = gateway.ledger().borrow_mut().start(gateway.assignments(request, placement), now);
        gateway.count_joint_demand(placement);
        let helpers = gateway.helpers(placement, reservations.as_ref());
        if placement.reason != Reason::FewestRequests && placement.reason != Reason::ShortDivision {
            gateway.request_report();
        }
        info!(
            target: "request", id = request.metadata.id, server:% = placement.server,
            reason:% = placement.reason, helpers:% = placement.helper_names(),
            first_ms = placement.first_ms as u64, part_ms = placement.part_ms as u64,
            prompt = request.metadata.prompt.map_or(0, |p| p.tokens.get()),
            left_ms = request.time_left(now).as_millis() as u64, version:% = request.version,
            fleet_age_ms = gateway.age_ms(freshness::Kind::Servers);
            "placed"
        );
        Self {
            gateway: gateway.clone(),
            request: request.clone(),
            placement: placement.clone(),
            helpers,
            reservations,
            key,
            expected_pass: Cell::new(expected_pass),
            last_progress: Cell::new(None),
            prompt_computed: Cell::new(false),
            started: now,
        }
    }

    /// Returns the server, if it is still known.
    pub fn server(&self) -> Option<Server> {
        self.gateway.fleet().borrow().server(&self.placement.server).cloned()
    }

    /// Returns the placement of the request.
    pub const fn placement(&self) -> &Placement {
        &self.placement
    }

    /// Returns whether the response is a stream.
    pub fn is_streaming(&self) -> bool {
        self.request.route.streaming
    }

    /// Returns the helper servers.
    pub fn helpers(&self) -> &[Helper] {
        &self.helpers
    }

    /// Returns the time at which the attempt ends at the latest: the deadline of its request, or before
    /// if memory that is reserved for it shows no use.
    pub fn deadline(&self) -> Moment {
        let memory = self.reservations.as_ref().map(Reservations::ends_at);
        memory.map_or(self.request.deadline, |ends_at| ends_at.min(self.request.deadline))
    }

    /// Records a sign that the server works on the request, and so uses the memory that is reserved.
    pub fn record_use(&self) {
        if let Some(reservations) = &self.reservations {
            reservations.record_use();
        }
    }

    /// Records that part of the response arrived, and whether it is on time.
    pub fn record_progress(&self, on_time: bool) {
        let mut ledger = self.gateway.ledger().borrow_mut();
        ledger.first_event(self.key, on_time);
        if !on_time {
            ledger.mark_late(self.key);
        }
        drop(ledger);
        self.record_use();
        self.gateway.wake_queue();
        self.record_pace();
        if !self.prompt_computed.replace(true) {
            self.gateway.record_computed_prompt(&self.request, &self.placement);
        }
        self.gateway.record_activity(&self.placement.server);
    }

    /// Compares the time to the first event, or between events, with what was expected. Events that
    /// were read together, and prompts that other servers helped with, say nothing of the server.
    fn record_pace(&self) {
        let (now, server) = (self.gateway.now(), &self.placement.server);
        let pass = self.gateway.expected_pass(&self.request, server);
        let last = self.last_progress.replace(Some(now));
        let (Some(before), Some(after)) = (self.expected_pass.replace(pass), pass) else {
            return;
        };
        let first = Duration::from_secs_f64(self.placement.first_ms / 1e3);
        let (expected, seen) = match last {
            None => (first, now.since(self.started)),
            Some(last) => (before.max(after), now.since(last)),
        };
        if self.placement.helpers.is_empty() && seen >= expected / 2 {
            self.gateway.record_pace(server, expected, seen);
        }
    }

    /// Records the outcome of the attempt; `why` is the reason for the log.
    pub fn record_outcome(&self, outcome: Outcome, why: &str) {
        self.log_outcome(outcome, why);
        self.update_health(outcome);
    }

    /// Records the outcome of the attempt and the error that ended it.
    pub fn record_error(&self, outcome: Outcome, error: &dyn std::error::Error) {
        let source = error.source().map(ToString::to_string).unwrap_or_default();
        self.log_outcome(outcome, &format!("{error} {source}"));
        self.update_health(outcome);
    }

    /// Records that the server proved that the request did not run.
    pub fn record_not_run(&self, status: StatusCode) {
        self.log_outcome(Outcome::Full, status.as_str());
        self.update_health(Outcome::Full);
    }

    /// Records a failure response of the server.
    pub fn record_failure(&self, status: StatusCode) {
        self.log_outcome(Outcome::Failed, status.as_str());
        self.update_health(Outcome::Failed);
    }

    /// Records a complete response.
    pub fn record_success(&self, status: StatusCode) {
        self.log_outcome(Outcome::Good, status.as_str());
        self.update_health(Outcome::Good);
        let time = self.gateway.now().since(self.request.arrived);
        self.gateway.metrics().response_completed(self.request.route.streaming, time);
    }

    /// Logs that nothing was sent, since the server was excluded after the placement.
    pub fn log_withheld(&self, reason: Exclusion) {
        info!(
            target: "request", id = self.request.metadata.id, server:% = self.placement.server,
            reason:%;
            "not sent, the server has been excluded"
        );
    }

    fn log_outcome(&self, outcome: Outcome, why: &str) {
        let now = self.gateway.now();
        info!(
            target: "request", id = self.request.metadata.id, server:% = self.placement.server,
            outcome:%, why, at_server_ms = now.since(self.started).as_millis() as u64,
            ms = now.since(self.request.arrived).as_millis() as u64;
            "attempt ended"
        );
        self.gateway.metrics().attempt_ended(outcome);
    }

    fn update_health(&self, outcome: Outcome) {
        if matches!(outcome, Outcome::Good | Outcome::Failed | Outcome::Silent) {
            let time = self.gateway.now().since(self.started);
            self.gateway.record_response_time(&self.request, time);
        }
        self.gateway.record_outcome(&self.placement.server, outcome);
    }
}

impl Drop for Dispatch {
    fn drop(&mut self) {
        self.gateway.ledger().borrow_mut().end(self.key);
        self.gateway.wake_queue();
    }
}
