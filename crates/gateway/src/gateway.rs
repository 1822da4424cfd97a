use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use kumquattiller_base::runner;
use kumquattiller_base::service;
use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;
use log::error;
use log::info;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::budget::Budget;
use crate::clock::Clock;
use crate::config::Config;
use crate::config::Repeat;
use crate::config::Version;
use crate::dialect::Dialect;
use crate::dialect::Helper;
use crate::fleet;
use crate::fleet::Change;
use crate::fleet::Server;
use crate::health::Health;
use crate::health::Outcome;
use crate::http::Job;
use crate::http::Pool;
use crate::load::Ledger;
use crate::load::Work;
use crate::observe::Metrics;
use crate::observe::State;
use crate::peer;
use crate::peer::Document;
use crate::placement::Candidate;
use crate::placement::Placement;
use crate::placement::Request;
use crate::placement::is_long;
use crate::placement::place_plain;
use crate::placement::place_prompt;
use crate::relay::Flight;
use crate::settings::Settings;
use crate::stop::Phase;
use crate::stop::Stop;
use crate::suspect::Suspects;

/// Longest pause that counts as short: streams that allow no more are kept from long prompts.
const TIGHT_GAP: Duration = Duration::from_millis(300);
/// Time without an answer after which an idempotent plain request goes to a second server, as a
/// part of the time that it had.
const PLAIN_WAIT_PART: f64 = 0.35;
/// Least time without any event of a server that has work before it counts as silent.
const SERVER_SILENCE: Duration = Duration::from_millis(1_500);
/// Least time that a stream waits for its first event before it is moved.
const FIRST_EVENT_WAIT: Duration = Duration::from_millis(1_200);
/// How many times its expected reading a stream waits for its first event before it is moved.
const FIRST_EVENT_FACTOR: f64 = 3.0;
/// How many times its longest good pause a stream waits for its next event before it is moved.
const GAP_FACTOR: u32 = 3;

/// The state of a daemon, shared by all its tasks.
pub struct Gateway {
    clock: Clock,
    settings: Settings,
    dialect: Rc<dyn Dialect>,
    config: RefCell<Option<Rc<Config>>>,
    document: RefCell<Document>,
    fleet: RefCell<fleet::Table>,
    fleet_known: Cell<bool>,
    ledger: RefCell<Ledger>,
    health: RefCell<Health>,
    heard: RefCell<HashMap<runner::Id, Moment>>,
    suspects: RefCell<Suspects>,
    budgets: RefCell<HashMap<service::Name, Budget>>,
    peers: RefCell<peer::Table>,
    fetching: Cell<bool>,
    pool: Pool,
    metrics: Metrics,
    stop: Cell<Stop>,
    phase: watch::Sender<Phase>,
}

impl std::fmt::Debug for Gateway {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Gateway").field("settings", &self.settings).finish_non_exhaustive()
    }
}

impl Gateway {
    /// Creates the state of a daemon that knows no configuration and no servers.
    pub fn new(settings: Settings, dialect: Rc<dyn Dialect>) -> Self {
        Self {
            clock: Clock::start(),
            stop: Cell::new(Stop::new(settings.grace)),
            settings,
            dialect,
            config: RefCell::default(),
            document: RefCell::default(),
            fleet: RefCell::default(),
            fleet_known: Cell::new(false),
            ledger: RefCell::default(),
            health: RefCell::default(),
            heard: RefCell::default(),
            suspects: RefCell::default(),
            budgets: RefCell::default(),
            peers: RefCell::default(),
            fetching: Cell::new(false),
            pool: Pool::default(),
            metrics: Metrics::default(),
            phase: watch::Sender::new(Phase::Serving),
        }
    }

    /// Returns the settings.
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the adapter's translation.
    pub fn dialect(&self) -> &dyn Dialect {
        self.dialect.as_ref()
    }

    /// Returns the present moment.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Returns the instant of a moment.
    pub fn instant(&self, moment: Moment) -> Instant {
        self.clock.instant(moment)
    }

    /// Returns the backend servers.
    pub const fn fleet(&self) -> &RefCell<fleet::Table> {
        &self.fleet
    }

    /// Returns the requests in flight.
    pub const fn ledger(&self) -> &RefCell<Ledger> {
        &self.ledger
    }

    /// Returns the requests that may have ended servers.
    pub const fn suspects(&self) -> &RefCell<Suspects> {
        &self.suspects
    }

    /// Returns the other daemons.
    pub const fn peers(&self) -> &RefCell<peer::Table> {
        &self.peers
    }

    /// Returns the idle connections.
    pub const fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Returns the metrics.
    pub const fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<Rc<Config>> {
        self.config.borrow().clone()
    }

    /// Returns the configuration as the store holds it.
    pub fn document(&self) -> Document {
        self.document.borrow().clone()
    }

    /// Returns the version in force; 0 for none.
    pub fn version(&self) -> Version {
        self.config.borrow().as_ref().map(|c| c.version()).unwrap_or_default()
    }

    /// Takes a configuration into force if it is newer than the present one. `source` tells the
    /// log where it came from.
    pub fn offer_config(&self, document: Bytes, source: &str) {
        let config = match self.dialect.config(&document) {
            Ok(config) => config,
            Err(reason) => {
                error!(target: "config", source, reason:%; "a configuration cannot be read");
                return;
            }
        };
        let (old, new) = (self.version(), config.version());
        if new <= old {
            return;
        }
        info!(
            target: "config", version:% = new, old:%, source, routes = config.route_count();
            "configuration in force"
        );
        *self.document.borrow_mut() = Document { version: new.get(), body: document };
        *self.config.borrow_mut() = Some(Rc::new(config));
    }

    /// Notes that the list of backend servers was read once.
    pub fn set_fleet_known(&self) {
        self.fleet_known.set(true);
    }

    /// Applies what a change of a registration means to the state of this daemon, and logs it.
    pub fn note_change(&self, id: &runner::Id, change: Change) {
        match change {
            Change::Same => return,
            Change::Joined => {
                self.health.borrow_mut().reset(id);
                self.pool.drop_server(id);
            }
            Change::Leaving | Change::Gone | Change::Lapsed => {}
        }
        let known = self.fleet.borrow().len();
        info!(target: "fleet", server:% = id, change:%, known; "server changed");
    }

    /// Tells whether the balancer may send callers here.
    pub fn is_ready(&self) -> bool {
        let known = self.config.borrow().is_some() && self.fleet_known.get();
        known && self.phase() == Phase::Serving
    }

    /// Returns the phase of the stop.
    pub fn phase(&self) -> Phase {
        self.stop.get().phase(self.now())
    }

    /// Begins the graceful stop and returns when what ran has ended or the grace is over.
    pub async fn finish(&self) {
        let mut stop = self.stop.get();
        stop.ask(self.now());
        self.stop.set(stop);
        loop {
            let phase = self.phase();
            self.phase.send_if_modified(|old| std::mem::replace(old, phase) != phase);
            let idle = self.ledger.borrow().is_empty();
            if phase == Phase::Over || (phase == Phase::Finishing && idle) {
                break;
            }
            tokio::time::sleep(crate::stop::INTERVAL).await;
        }
        info!(target: "process", unfinished = self.ledger.borrow().len(); "stopped");
        tokio::time::sleep(crate::stop::INTERVAL).await;
    }

    /// Waits until this daemon takes no new requests.
    pub async fn wait_finishing(&self) {
        let mut phase = self.phase.subscribe();
        let refusing = |p: &Phase| matches!(p, Phase::Finishing | Phase::Over);
        if phase.wait_for(refusing).await.is_err() {
            log::debug!(target: "process", "the gateway has ended");
        }
    }

    /// Claims the one fetch of a configuration that may run; returns false when one runs.
    pub fn begin_fetch(&self) -> bool {
        !self.fetching.replace(true)
    }

    /// Ends the fetch.
    pub fn end_fetch(&self) {
        self.fetching.set(false);
    }

    /// Counts an admitted request for the retry budget of its service.
    pub fn count_request(&self, job: &Job) {
        self.metrics.admitted();
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(job.service.name.clone()).or_default();
        budget.request(self.now(), &self.settings.budget);
        if let (Some(profile), Some(prompt)) = (&job.service.engine, &job.ask.prompt) {
            let long = is_long(prompt, profile);
            let long_ms = if long { profile.read_ms(prompt.tokens) } else { 0.0 };
            self.ledger.borrow_mut().count(long_ms, !long, self.now());
        }
    }

    /// Takes one resend from the retry budget; returns false when none is left.
    pub fn may_resend(&self, job: &Job) -> bool {
        let now = self.now();
        let daemons = self.peers.borrow().alive(now) + 1;
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(job.service.name.clone()).or_default();
        let allowed = budget.withdraw(now, &self.settings.budget, daemons);
        if allowed {
            self.metrics.resent();
        } else {
            info!(target: "request", id = job.ask.id, daemons; "retry budget spent");
        }
        allowed
    }

    /// Counts that a request's server broke while it ran the request.
    pub fn count_death(&self, job: &Job) {
        let deaths = self.suspects.borrow_mut().died(job.fingerprint, self.now());
        if deaths >= crate::suspect::DEATH_LIMIT {
            info!(target: "request", id = job.ask.id, deaths; "request is suspect");
        }
    }

    /// Chooses the servers of a request, none of `tried`.
    pub fn place(&self, job: &Job, tried: &[runner::Id]) -> Option<Placement> {
        let now = self.now();
        let candidates = self.candidates(job, tried, now);
        match (&job.service.engine, &job.ask.prompt) {
            (Some(profile), Some(prompt)) => {
                let demand = self.ledger.borrow().demand(now);
                let request = Request { prompt, aim: job.route.aim, profile };
                place_prompt(&request, &candidates, &demand)
            }
            _ => place_plain(&candidates, rand::random()),
        }
    }

    /// Returns the servers that may get a request; those that fail only where no other is left.
    fn candidates(&self, job: &Job, tried: &[runner::Id], now: Moment) -> Vec<Candidate> {
        let fleet = self.fleet.borrow();
        let mut usable = fleet.usable(&job.service.name);
        usable.retain(|s| !tried.contains(&s.id));
        let health = self.health.borrow();
        if usable.iter().any(|s| health.is_usable(&s.id, now)) {
            usable.retain(|s| health.is_usable(&s.id, now));
        }
        let ledger = self.ledger.borrow();
        let describe = |s: &Server| Candidate::new(s.id.clone(), ledger.view(&s.id, now), s.slots);
        usable.into_iter().map(describe).collect()
    }

    /// Returns what a placement asks of each of its servers.
    pub fn works(&self, job: &Job, placement: &Placement) -> Vec<Work> {
        let prompt = job.ask.prompt.filter(|_| job.service.engine.is_some());
        let long = match (&job.service.engine, &prompt) {
            (Some(profile), Some(prompt)) => is_long(prompt, profile),
            _ => false,
        };
        let memory = prompt.map_or(Tokens::ZERO, |p| p.tokens.saturating_add(p.answer));
        let main = Work {
            server: placement.server.clone(),
            read_ms: placement.part_ms,
            long,
            tight: job.route.streaming && job.route.gap <= TIGHT_GAP,
            memory,
            helper: false,
        };
        let helper = |server: &runner::Id| Work {
            server: server.clone(),
            memory: Tokens::ZERO,
            helper: true,
            ..main.clone()
        };
        let helpers = placement.helpers.iter().map(helper).collect::<Vec<_>>();
        std::iter::once(main).chain(helpers).collect()
    }

    /// Returns the helpers of a placement that are still known.
    pub fn helpers(&self, placement: &Placement) -> Vec<Helper> {
        let fleet = self.fleet.borrow();
        let known = placement.helpers.iter().filter_map(|id| fleet.server(id));
        known.map(|s| Helper { address: s.address, ticket: None }).collect()
    }

    /// Returns how urgent a request is for its server, 0 first.
    pub fn urgency(&self, job: &Job) -> Option<u8> {
        job.service.engine?;
        let loose = u8::from(job.route.gap > TIGHT_GAP);
        Some(job.rank.saturating_mul(2).saturating_add(loose).min(9))
    }

    /// Returns until when the head of an answer is waited for.
    pub fn head_wait(&self, job: &Job, flight: &Flight, sends: u32) -> Moment {
        let last_try = sends + 1 >= job.route.max_attempts;
        if job.route.repeat == Repeat::Never || last_try {
            return job.end;
        }
        let now = self.now();
        let span = if job.route.streaming {
            let expected = flight.placement().first_ms / 1e3 * FIRST_EVENT_FACTOR;
            FIRST_EVENT_WAIT + Duration::from_secs_f64(expected)
        } else {
            job.left(now).mul_f64(PLAIN_WAIT_PART)
        };
        job.end.min(now + span)
    }

    /// Returns until when the next event of a stream is waited for, whose last came at `last`.
    pub fn event_wait(&self, job: &Job, last: Moment) -> Moment {
        last + SERVER_SILENCE.max(job.route.gap * GAP_FACTOR)
    }

    /// Returns until when a server that has work counts as alive without saying more.
    pub fn alive_until(&self, server: &runner::Id) -> Moment {
        self.heard.borrow().get(server).map_or(Moment::ZERO, |at| *at + SERVER_SILENCE)
    }

    /// Notes that a server said something.
    pub fn heard(&self, server: &runner::Id) {
        self.heard.borrow_mut().insert(server.clone(), self.now());
    }

    /// Takes in how a send to a server went.
    pub fn note_health(&self, server: &runner::Id, outcome: Outcome) {
        let pause = self.health.borrow_mut().note(server, outcome, self.now());
        if let Some(pause) = pause {
            self.pool.drop_server(server);
            let pause_ms = pause.as_millis() as u64;
            info!(target: "fleet", server:%, outcome:%, pause_ms; "server set aside");
        }
    }

    /// Forgets what is too old, once.
    pub fn tidy(&self) {
        let now = self.now();
        for id in self.fleet.borrow_mut().expire(now) {
            info!(target: "fleet", server:% = id; "lapsed registration did not come back");
        }
        self.ledger.borrow_mut().expire(now);
        let fleet = self.fleet.borrow();
        let known = |id: &runner::Id| fleet.server(id).is_some();
        self.pool.expire(now, known);
        self.health.borrow_mut().retain(known);
        self.heard.borrow_mut().retain(|id, _| known(id));
    }

    /// Returns the metrics as text.
    pub fn encode_metrics(&self) -> String {
        self.metrics.encode(State {
            version: self.version().get(),
            servers: self.fleet.borrow().len(),
            peers: self.peers.borrow().alive(self.now()),
            in_flight: self.ledger.borrow().len(),
        })
    }
}
