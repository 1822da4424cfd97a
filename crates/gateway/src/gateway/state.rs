use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::SystemTime;

use bytes::Bytes;
use kumquattiller_base::runner;
use kumquattiller_base::service;
use kumquattiller_base::time::Moment;
use kumquattiller_link::Clock;
use log::info;
use log::warn;
use strum::IntoEnumIterator;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::backoff;
use crate::budget::Budget;
use crate::changes::History;
use crate::config::Config;
use crate::config::Version;
use crate::dialect::Dialect;
use crate::evacuation;
use crate::fleet;
use crate::freshness;
use crate::health::Health;
use crate::health::Outcome;
use crate::http::Pool;
use crate::http::ResponseMemory;
use crate::load::Ledger;
use crate::load::server_key;
use crate::observe::Metrics;
use crate::observe::State;
use crate::pace;
use crate::pause;
use crate::peer;
use crate::peer::Document;
use crate::placement::RAMP_TIME;
use crate::prefix;
use crate::queue;
use crate::rate_limit;
use crate::response_time;
use crate::settings::Settings;
use crate::socket;
use crate::stop::Phase;
use crate::stop::Stop;
use crate::suspect::Suspects;
use crate::unread;

/// Interval at which expired state is removed.
const CLEANUP_INTERVAL: Duration = Duration::from_millis(250);
/// Delay of a timer from which callers may notice it; longer delays are logged.
const TIMER_DELAY_WARNING: Duration = Duration::from_millis(100);

/// The state of a daemon, shared by all its tasks.
pub struct Gateway {
    pub(super) clock: Clock,
    pub(super) settings: Settings,
    pub(super) dialect: Rc<dyn Dialect>,
    pub(super) config: RefCell<Option<Rc<Config>>>,
    /// The configuration document as stored.
    pub(super) document: RefCell<Bytes>,
    pub(super) fleet: RefCell<fleet::Table>,
    pub(super) starts: RefCell<fleet::Starts>,
    pub(super) fleet_loaded: Cell<bool>,
    pub(super) freshness: RefCell<freshness::Table>,
    /// How this daemon learns of changes in the store, as last determined.
    pub(super) role: Cell<Option<freshness::Role>>,
    /// The last changes of each kind, for the peers.
    pub(super) histories: RefCell<BTreeMap<freshness::Kind, History>>,
    /// Wakes the watches when a peer has seen a change that a copy lacks.
    pub(super) change_missed: Notify,
    pub(super) evacuations: RefCell<evacuation::Table>,
    pub(super) evacuation_hold: RefCell<evacuation::Hold>,
    /// Wakes requests that are held back when the copy of the evacuations has been confirmed.
    pub(super) evacuations_confirmed: Notify,
    /// Pauses of the process as of the last request.
    pub(super) send_pauses: RefCell<pause::Detector>,
    /// Wakes waiting requests when the configuration, the servers or the evacuations have been loaded.
    pub(super) data_loaded: Notify,
    pub(super) ledger: RefCell<Ledger>,
    pub(super) health: RefCell<Health>,
    pub(super) backoffs: RefCell<backoff::Table>,
    pub(super) paces: RefCell<pace::Table>,
    /// How long the servers of each service without an engine profile take.
    pub(super) response_times: RefCell<response_time::Table>,
    pub(super) rate_limits: RefCell<rate_limit::Table>,
    /// The daemons between which the rates of cold servers and the retry budget are divided.
    pub(super) roster: RefCell<peer::Roster>,
    /// The prompt prefixes that the servers probably hold.
    pub(super) prefixes: RefCell<prefix::Table>,
    /// When each server last sent part of a response.
    pub(super) last_heard: RefCell<HashMap<runner::Id, Moment>>,
    pub(super) suspects: RefCell<Suspects>,
    pub(super) budgets: RefCell<HashMap<service::Name, Budget>>,
    pub(super) peers: RefCell<peer::Table>,
    /// Whether the store has the registration of this daemon.
    pub(super) registered: Cell<bool>,
    pub(super) fetching: Cell<bool>,
    /// Number of callers' open connections on which a request has arrived.
    pub(crate) active_connections: Cell<usize>,
    report_requested: Notify,
    pub(super) queue: queue::Shared,
    pub(super) pool: Pool,
    /// The connections of callers and to servers.
    pub(super) sockets: socket::Table,
    /// Memory for the bodies of responses that are being read.
    response_memory: ResponseMemory,
    /// Responses that callers have not read yet.
    unread: Rc<unread::Memory>,
    pub(super) metrics: Metrics,
    pub(super) stop: Cell<Stop>,
    pub(super) phase: watch::Sender<Phase>,
}

impl std::fmt::Debug for Gateway {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Gateway").field("settings", &self.settings).finish_non_exhaustive()
    }
}

impl Gateway {
    /// Creates the state of a daemon without configuration and servers.
    pub fn new(settings: Settings, dialect: Rc<dyn Dialect>) -> Self {
        if !settings.cold_bound.is_valid() {
            warn!(target: "process", bound:? = settings.cold_bound; "ignored an invalid cold bound");
        }
        let metrics = Metrics::default();
        let budget = settings.unread_budget();
        let unread = Rc::new(unread::Memory::new(budget, metrics.slow_callers()));
        Self {
            clock: Clock::start(),
            stop: Cell::new(Stop::new(settings.grace)),
            settings,
            dialect,
            config: RefCell::default(),
            document: RefCell::default(),
            fleet: RefCell::default(),
            starts: RefCell::default(),
            fleet_loaded: Cell::new(false),
            freshness: RefCell::default(),
            role: Cell::new(None),
            histories: RefCell::default(),
            change_missed: Notify::new(),
            evacuations: RefCell::default(),
            evacuation_hold: RefCell::default(),
            evacuations_confirmed: Notify::new(),
            send_pauses: RefCell::new(pause::Detector::new(Instant::now(), SystemTime::now())),
            data_loaded: Notify::new(),
            ledger: RefCell::default(),
            health: RefCell::default(),
            backoffs: RefCell::default(),
            paces: RefCell::default(),
            response_times: RefCell::default(),
            rate_limits: RefCell::default(),
            roster: RefCell::default(),
            prefixes: RefCell::default(),
            last_heard: RefCell::default(),
            suspects: RefCell::default(),
            budgets: RefCell::default(),
            peers: RefCell::default(),
            registered: Cell::new(false),
            fetching: Cell::new(false),
            active_connections: Cell::new(0),
            report_requested: Notify::new(),
            queue: queue::Shared::default(),
            pool: Pool::default(),
            sockets: socket::Table::default(),
            response_memory: ResponseMemory::default(),
            unread,
            metrics,
            phase: watch::Sender::new(Phase::Serving),
        }
    }

    /// Returns the settings.
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the translation of the platform's messages.
    pub fn dialect(&self) -> &dyn Dialect {
        self.dialect.as_ref()
    }

    /// Returns the current time.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Converts a moment to an instant of the runtime.
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

    /// Returns the requests that may have crashed servers.
    pub const fn suspects(&self) -> &RefCell<Suspects> {
        &self.suspects
    }

    /// Returns the peers, which are the other gateway daemons.
    pub const fn peers(&self) -> &RefCell<peer::Table> {
        &self.peers
    }

    /// Returns how many peers are alive.
    pub fn peers_alive(&self) -> usize {
        self.peers.borrow().alive(self.now())
    }

    /// Returns the health of servers.
    pub const fn health(&self) -> &RefCell<Health> {
        &self.health
    }

    /// Returns the pool of idle connections to servers.
    pub const fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Returns the connections of callers and to servers.
    pub const fn sockets(&self) -> &socket::Table {
        &self.sockets
    }

    /// Returns the memory for the bodies of responses.
    pub const fn response_memory(&self) -> &ResponseMemory {
        &self.response_memory
    }

    /// Returns the responses that callers have not read yet.
    pub const fn unread(&self) -> &Rc<unread::Memory> {
        &self.unread
    }

    /// Returns the metrics.
    pub const fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns the current configuration, if one has been loaded.
    pub fn config(&self) -> Option<Rc<Config>> {
        self.config.borrow().clone()
    }

    /// Returns the configuration, servers and evacuations for a peer that cannot reach the store.
    pub fn document(&self) -> Document {
        Document {
            version: self.version().get(),
            body: self.document.borrow().clone(),
            servers: self.fleet.borrow().servers().map(|s| peer::Server::from(&s)).collect(),
            evacuations: self.changes_since(freshness::Kind::Evacuations, None),
        }
    }

    /// Returns the version of the current configuration, or version 0 if none has been loaded.
    pub fn version(&self) -> Version {
        self.config.borrow().as_ref().map(|c| c.version()).unwrap_or_default()
    }

    /// Requests that a report is sent to the peers immediately.
    pub fn request_report(&self) {
        self.report_requested.notify_one();
    }

    /// Waits until an immediate report is requested.
    pub async fn wait_for_report_request(&self) {
        self.report_requested.notified().await;
    }

    /// Updates the health of a server after an attempt. If the server is excluded from new work,
    /// its idle connections are closed.
    pub fn record_outcome(&self, server: &runner::Id, outcome: Outcome) {
        let exclusion = self.health.borrow_mut().record(server, outcome, self.now());
        if let Some(exclusion) = exclusion {
            self.pool.close_server(server);
            let pause_ms = exclusion.as_millis() as u64;
            info!(target: "fleet", server:%, outcome:%, pause_ms; "server excluded from new work");
        }
    }

    /// Marks the servers that a peer reports as unusable helpers; `keys` are their [`server_key`]s.
    pub fn mark_reported_unusable_helpers(&self, keys: &[u64]) {
        if keys.is_empty() {
            return;
        }
        let now = self.now();
        let fleet = self.fleet.borrow();
        let mut health = self.health.borrow_mut();
        for id in fleet.ids().filter(|id| keys.contains(&server_key(id))) {
            health.mark_unusable_helper(id, now);
        }
    }

    /// Records that a server reported the helper at an address as unusable.
    pub fn record_unusable_helper(&self, address: SocketAddr) {
        let id = self.fleet.borrow().at(address).cloned();
        match id {
            Some(id) => self.record_outcome(&id, Outcome::UnusableHelper),
            None => {
                info!(target: "fleet", address:%; "unknown server reported as an unusable helper")
            }
        }
    }

    /// Removes expired state at regular intervals until the process exits. If other work on this
    /// thread or this VM delays the timer noticeably, a warning is logged.
    pub async fn run_cleanup(&self) {
        loop {
            let before = self.now();
            tokio::time::sleep(CLEANUP_INTERVAL).await;
            let timer_delay = self.now().since(before).saturating_sub(CLEANUP_INTERVAL);
            self.metrics.timer_delay(timer_delay);
            if timer_delay >= TIMER_DELAY_WARNING {
                let ms = timer_delay.as_millis() as u64;
                warn!(
                    target: "process", ms, in_flight = self.ledger.borrow().len();
                    "timer delayed"
                );
            }
            self.detect_missed_evacuations();
            self.remove_expired();
        }
    }

    fn remove_expired(&self) {
        let now = self.now();
        self.sockets.check(now);
        for id in self.fleet.borrow_mut().expire(now) {
            info!(target: "fleet", server:% = id; "server with a lapsed registration removed");
        }
        for id in self.backoffs.borrow_mut().expire(now) {
            info!(target: "fleet", server:% = id; "the pause of the server is over");
        }
        self.starts.borrow_mut().expire(RAMP_TIME, now);
        let fleet = self.fleet.borrow();
        let known = |id: &runner::Id| fleet.server(id).is_some();
        self.ledger.borrow_mut().expire(now, known);
        self.pool.expire(now, known);
        self.health.borrow_mut().retain(known);
        self.paces.borrow_mut().update(now);
        for id in self.rate_limits.borrow_mut().take_cold_ends(now) {
            info!(target: "fleet", server:% = id; "the cold time of the server is over");
        }
        self.rate_limits.borrow_mut().expire(now, known);
        self.prefixes.borrow_mut().expire(now, known);
        self.last_heard.borrow_mut().retain(|id, _| known(id));
        self.suspects.borrow_mut().expire(now);
        drop(fleet);
        self.update_roster();
        self.update_rate_shares();
        self.update_cold_shares();
        self.expire_queue(now);
    }

    /// Returns the metrics in the text format.
    pub fn encode_metrics(&self) -> String {
        let age = |kind| self.freshness.borrow().age(kind, self.now());
        self.metrics.encode(State {
            version: self.version().get(),
            servers: self.fleet.borrow().len(),
            peers: self.peers_alive(),
            in_flight: self.ledger.borrow().len(),
            evacuated_zones: self.evacuations.borrow().zones().len(),
            waiting: self.queue.queue().borrow().len(),
            unread: self.unread.used(),
            sockets: self.sockets.len(),
            stalled: self.sockets.stalled(),
            rate_limited: self.rate_limits.borrow().limited(),
            cold: self.rate_limits.borrow().cold(self.now()),
            role: self.role.get(),
            ages: freshness::Kind::iter().filter_map(|kind| Some((kind, age(kind)?))).collect(),
        })
    }
}
