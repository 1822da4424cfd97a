use std::rc::Rc;

use hyper::StatusCode;
use kumquattiller_base::time::Moment;
use log::info;

use crate::Gateway;
use crate::dialect::Helper;
use crate::fleet::Server;
use crate::health::Outcome;
use crate::http::Job;
use crate::load::Key;
use crate::placement::Placement;
use crate::placement::Reason;
use crate::ticket::Tickets;

/// A request that is at a server. Dropping it takes the request out of the load.
#[derive(Debug)]
pub struct Flight {
    gateway: Rc<Gateway>,
    job: Rc<Job>,
    placement: Placement,
    helpers: Vec<Helper>,
    /// Ends with the flight.
    _tickets: Option<Tickets>,
    key: Key,
    /// When it was sent.
    pub started: Moment,
}

impl Flight {
    /// Enters a request into the load of the servers that it was placed on.
    pub fn start(
        gateway: &Rc<Gateway>,
        job: &Rc<Job>,
        placement: &Placement,
        tickets: Option<Tickets>,
    ) -> Self {
        let now = gateway.now();
        let key = gateway.ledger().borrow_mut().start(gateway.works(job, placement), now);
        gateway.count_joint(placement);
        let helpers = gateway.helpers(placement, tickets.as_ref());
        if placement.reason != Reason::FewestRequests && placement.reason != Reason::ShortDivision {
            gateway.announce();
        }
        info!(
            target: "request", id = job.ask.id, server:% = placement.server,
            reason:% = placement.reason, helpers:% = placement.helper_names(),
            first_ms = placement.first_ms as u64, part_ms = placement.part_ms as u64,
            prompt = job.ask.prompt.map_or(0, |p| p.tokens.get()),
            left_ms = job.left(now).as_millis() as u64, version:% = job.version;
            "placed"
        );
        Self {
            gateway: gateway.clone(),
            job: job.clone(),
            placement: placement.clone(),
            helpers,
            _tickets: tickets,
            key,
            started: now,
        }
    }

    /// Returns the server, if it is still known.
    pub fn server(&self) -> Option<Server> {
        self.gateway.fleet().borrow().server(&self.placement.server).cloned()
    }

    /// Returns where it was placed.
    pub const fn placement(&self) -> &Placement {
        &self.placement
    }

    /// Returns the helpers.
    pub fn helpers(&self) -> &[Helper] {
        &self.helpers
    }

    /// Notes that something of the answer came, and whether it is on time.
    pub fn read(&self, on_time: bool) {
        let mut ledger = self.gateway.ledger().borrow_mut();
        ledger.first_event(self.key, on_time);
        if !on_time {
            ledger.mark_late(self.key);
        }
        drop(ledger);
        self.gateway.heard(&self.placement.server);
    }

    /// Notes how the send went, with the reason in words.
    pub fn note(&self, outcome: Outcome, why: &str) {
        self.log(outcome, why);
        self.judge(outcome);
    }

    /// Notes how the send went, with the error that ended it.
    pub fn note_error(&self, outcome: Outcome, error: &dyn std::error::Error) {
        let source = error.source().map(ToString::to_string).unwrap_or_default();
        self.log(outcome, &format!("{error} {source}"));
        self.judge(outcome);
    }

    /// Notes that the server proved that the request did not run.
    pub fn not_run(&self, status: StatusCode) {
        self.log(Outcome::Full, status.as_str());
        self.judge(Outcome::Full);
    }

    /// Notes a failure of the server's own.
    pub fn failed(&self, status: StatusCode) {
        self.log(Outcome::Failed, status.as_str());
        self.judge(Outcome::Failed);
    }

    /// Notes a whole answer.
    pub fn done(&self, status: StatusCode) {
        self.log(Outcome::Good, status.as_str());
        self.judge(Outcome::Good);
        let time = self.gateway.now().since(self.job.arrived);
        self.gateway.metrics().answered(self.job.route.streaming, time);
    }

    fn log(&self, outcome: Outcome, why: &str) {
        let now = self.gateway.now();
        info!(
            target: "request", id = self.job.ask.id, server:% = self.placement.server, outcome:%,
            why, at_server_ms = now.since(self.started).as_millis() as u64,
            ms = now.since(self.job.arrived).as_millis() as u64;
            "send ended"
        );
        self.gateway.metrics().sent(outcome);
    }

    fn judge(&self, outcome: Outcome) {
        self.gateway.note_health(&self.placement.server, outcome);
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.gateway.ledger().borrow_mut().end(self.key);
    }
}
