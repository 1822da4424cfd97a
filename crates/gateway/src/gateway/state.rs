use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use kumquattiller_base::runner;
use kumquattiller_base::service;
use kumquattiller_base::time::Moment;
use kumquattiller_link::Clock;
use log::info;
use log::warn;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::budget::Budget;
use crate::config::Config;
use crate::config::Version;
use crate::dialect::Dialect;
use crate::fleet;
use crate::health::Health;
use crate::health::Outcome;
use crate::http::Pool;
use crate::load::Ledger;
use crate::load::server_key;
use crate::observe::Metrics;
use crate::observe::State;
use crate::peer;
use crate::peer::Document;
use crate::settings::Settings;
use crate::stop::Phase;
use crate::stop::Stop;
use crate::suspect::Suspects;

/// Time between two rounds of forgetting what is too old.
const TIDY_INTERVAL: Duration = Duration::from_millis(250);
/// Delay of a timer from which callers may notice it.
const NOTABLE_DELAY: Duration = Duration::from_millis(100);

/// The state of a daemon, shared by all its tasks.
pub struct Gateway {
    pub(super) clock: Clock,
    pub(super) settings: Settings,
    pub(super) dialect: Rc<dyn Dialect>,
    pub(super) config: RefCell<Option<Rc<Config>>>,
    /// The configuration as the store holds it.
    pub(super) document: RefCell<Bytes>,
    pub(super) fleet: RefCell<fleet::Table>,
    pub(super) fleet_known: Cell<bool>,
    /// Tells requests that wait that the configuration or the servers are known.
    pub(super) learned: Notify,
    pub(super) ledger: RefCell<Ledger>,
    pub(super) health: RefCell<Health>,
    pub(super) heard: RefCell<HashMap<runner::Id, Moment>>,
    pub(super) suspects: RefCell<Suspects>,
    pub(super) budgets: RefCell<HashMap<service::Name, Budget>>,
    pub(super) peers: RefCell<peer::Table>,
    pub(super) fetching: Cell<bool>,
    /// Open connections of callers that have carried a request.
    pub(crate) answering: Cell<usize>,
    announcement: Notify,
    pub(super) pool: Pool,
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
            learned: Notify::new(),
            ledger: RefCell::default(),
            health: RefCell::default(),
            heard: RefCell::default(),
            suspects: RefCell::default(),
            budgets: RefCell::default(),
            peers: RefCell::default(),
            fetching: Cell::new(false),
            answering: Cell::new(0),
            announcement: Notify::new(),
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

    /// Returns how many other daemons are heard.
    pub fn peers_alive(&self) -> usize {
        self.peers.borrow().alive(self.now())
    }

    /// Returns the health of servers.
    pub const fn health(&self) -> &RefCell<Health> {
        &self.health
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

    /// Returns what a peer needs that the store does not serve.
    pub fn document(&self) -> Document {
        Document {
            version: self.version().get(),
            body: self.document.borrow().clone(),
            servers: self.fleet.borrow().servers().map(|s| peer::Server::from(&s)).collect(),
        }
    }

    /// Returns the version in force; 0 for none.
    pub fn version(&self) -> Version {
        self.config.borrow().as_ref().map(|c| c.version()).unwrap_or_default()
    }

    /// Asks that the peers are told at once of what this daemon has in flight.
    pub fn announce(&self) {
        self.announcement.notify_one();
    }

    /// Waits until the peers are to be told at once.
    pub async fn wait_announcement(&self) {
        self.announcement.notified().await;
    }

    /// Takes in how a send to a server went.
    pub fn note_health(&self, server: &runner::Id, outcome: Outcome) {
        let pause = self.health.borrow_mut().record(server, outcome, self.now());
        if let Some(pause) = pause {
            self.pool.drop_server(server);
            let pause_ms = pause.as_millis() as u64;
            info!(target: "fleet", server:%, outcome:%, pause_ms; "server set aside");
        }
    }

    /// Takes in the short forms of servers of which a peer was told that they take no part.
    pub fn tell_without_part(&self, keys: &[u64]) {
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

    /// Notes that the server at an address is said to take no part.
    pub fn note_at_fault(&self, address: SocketAddr) {
        let id = self.fleet.borrow().at(address).cloned();
        match id {
            Some(id) => self.note_health(&id, Outcome::UnusableHelper),
            None => info!(target: "fleet", address:%; "the server at fault is not known"),
        }
    }

    /// Forgets what is too old, at an interval, until the process ends. What else runs on this
    /// thread or this VM shows in the interval: where it is much longer, that is logged.
    pub async fn keep_tidy(&self) {
        loop {
            let before = self.now();
            tokio::time::sleep(TIDY_INTERVAL).await;
            let held_up = self.now().since(before).saturating_sub(TIDY_INTERVAL);
            self.metrics.held_up(held_up);
            if held_up >= NOTABLE_DELAY {
                let ms = held_up.as_millis() as u64;
                warn!(target: "process", ms, in_flight = self.ledger.borrow().len(); "held up");
            }
            self.tidy();
        }
    }

    fn tidy(&self) {
        let now = self.now();
        for id in self.fleet.borrow_mut().expire(now) {
            info!(target: "fleet", server:% = id; "lapsed registration did not come back");
        }
        let fleet = self.fleet.borrow();
        let known = |id: &runner::Id| fleet.server(id).is_some();
        self.ledger.borrow_mut().expire(now, known);
        self.pool.expire(now, known);
        self.health.borrow_mut().retain(known);
        self.heard.borrow_mut().retain(|id, _| known(id));
    }

    /// Returns the metrics as text.
    pub fn encode_metrics(&self) -> String {
        self.metrics.encode(State {
            version: self.version().get(),
            servers: self.fleet.borrow().len(),
            peers: self.peers_alive(),
            in_flight: self.ledger.borrow().len(),
        })
    }
}
