//! The shared state of a runner process, and its start and stop.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use kumquattiller_base::time::Moment;
use kumquattiller_clients::Transport;
use kumquattiller_clients::configuration::Spread;
use kumquattiller_clients::configuration::Task;
use kumquattiller_clients::engine;
use kumquattiller_clients::service;
use kumquattiller_inventory::Configuration;
use kumquattiller_link::Clock;
use kumquattiller_link::Identity;
use kumquattiller_link::incarnation;
use kumquattiller_telemetry::Recorder;
use kumquattiller_wire::Load;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::interval;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tokio_util::task::task_tracker::TaskTrackerToken;

use crate::Settings;
use crate::admission::Account;
use crate::gate::Gate;
use crate::http;
use crate::job;
use crate::link;
use crate::orders;
use crate::orders::Orders;
use crate::reconcile;
use crate::suspects::Suspects;

/// Time between sweeps of the job table.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// A runner process; clones share one state.
#[derive(Debug, Clone)]
pub struct Process {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    settings: Settings,
    identity: Identity,
    clock: Clock,
    engine: engine::Client,
    service: service::Client,
    memory: Account,
    gate: Gate,
    jobs: job::Table,
    orders: Orders,
    suspects: Suspects,
    recorder: Recorder,
    work: TaskTracker,
    leaving: CancellationToken,
    stopped: CancellationToken,
    spread: Spread,
    configuration: watch::Sender<Option<Arc<Configuration>>>,
    load_sequence: AtomicU64,
}

impl Process {
    /// Sets up the state; nothing runs yet.
    pub fn new(settings: Settings) -> Self {
        let transport = Transport::new();
        let clock = Clock::start();
        let identity = Identity {
            name: settings.id.to_string(),
            incarnation: incarnation::generate(),
            zone: settings.zone.to_string(),
            role: "runner".to_owned(),
        };
        let suspects = Suspects::new(&identity.name, identity.incarnation);
        let inner = Inner {
            engine: engine::Client::new(transport.clone(), &settings.backend.url),
            service: service::Client::new(transport, &settings.backend.url),
            memory: Account::new(settings.backend.memory, clock),
            gate: Gate::new(settings.backend.memory, clock),
            settings,
            identity,
            clock,
            jobs: job::Table::default(),
            orders: Orders::default(),
            suspects,
            recorder: Recorder::default(),
            work: TaskTracker::new(),
            leaving: CancellationToken::new(),
            stopped: CancellationToken::new(),
            spread: Spread::default(),
            configuration: watch::Sender::new(None),
            load_sequence: AtomicU64::new(0),
        };
        Self { inner: Arc::new(inner) }
    }

    /// Serves until `shutdown` completes, then finishes the work and returns.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be listened on.
    pub async fn run(self, shutdown: impl Future<Output = ()>) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.settings().link_address).await?;
        let health = http::start(self.clone()).await?;
        log::info!(
            runner:% = self.settings().id, address:% = self.settings().link_address;
            "runner process serves"
        );
        tokio::spawn(link::run(self.clone(), listener));
        tokio::spawn(self.clone().sweep());
        tokio::spawn(reconcile::run(self.clone()));
        tokio::spawn(orders::run(self.clone()));
        shutdown.await;
        self.leave();
        self.finish().await;
        health.abort();
        Ok(())
    }

    /// Refuses new work from now on.
    pub fn leave(&self) {
        if !self.is_leaving() {
            self.inner.leaving.cancel();
            log::info!(runner:% = self.settings().id; "runner takes no new work");
        }
    }

    /// Waits for the work and for the delivery of its answers.
    async fn finish(&self) {
        self.inner.work.close();
        self.inner.work.wait().await;
        self.inner.stopped.cancel();
        log::info!(runner:% = self.settings().id; "runner process ends");
    }

    /// Drops old answers, cancels orphans and runs the spread of configuration until the process stops.
    async fn sweep(self) {
        let mut ticks = interval(SWEEP_INTERVAL);
        while !self.inner.stopped.is_cancelled() {
            ticks.tick().await;
            self.inner.jobs.sweep(self.now());
            self.inner.gate.advance();
            self.finish_task(self.inner.spread.tick(self.now()));
        }
    }

    /// Runs a task that a graceful stop waits for.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.inner.work.spawn(task);
    }

    /// Returns the settings.
    pub fn settings(&self) -> &Settings {
        &self.inner.settings
    }

    /// Returns who the process is on links.
    pub fn identity(&self) -> &Identity {
        &self.inner.identity
    }

    /// Returns the present moment.
    pub fn now(&self) -> Moment {
        self.inner.clock.now()
    }

    /// Returns the engine's adapter.
    pub fn engine(&self) -> &engine::Client {
        &self.inner.engine
    }

    /// Returns the plain service's adapter.
    pub fn service(&self) -> &service::Client {
        &self.inner.service
    }

    /// Returns the account of the engine's memory.
    pub fn memory(&self) -> &Account {
        &self.inner.memory
    }

    /// Returns the gate before the engine.
    pub fn gate(&self) -> &Gate {
        &self.inner.gate
    }

    /// Returns the orders to the engine.
    pub fn orders(&self) -> &Orders {
        &self.inner.orders
    }

    /// Returns the jobs.
    pub fn jobs(&self) -> &job::Table {
        &self.inner.jobs
    }

    /// Returns the requests that an engine's death makes suspects.
    pub fn suspects(&self) -> &Suspects {
        &self.inner.suspects
    }

    /// Returns the metrics and the decisions.
    pub fn recorder(&self) -> &Recorder {
        &self.inner.recorder
    }

    /// Returns the token that is cancelled once new work is refused.
    pub fn leaving(&self) -> &CancellationToken {
        &self.inner.leaving
    }

    /// Returns a token that a graceful stop waits for until it is dropped.
    pub fn track(&self) -> TaskTrackerToken {
        self.inner.work.token()
    }

    /// Tells whether new work is refused.
    pub fn is_leaving(&self) -> bool {
        self.inner.leaving.is_cancelled()
    }

    /// Returns the token that is cancelled once the process has finished its work.
    pub fn stopped(&self) -> &CancellationToken {
        &self.inner.stopped
    }

    /// Returns the configuration version in force here.
    pub fn config_version(&self) -> u64 {
        self.inner.spread.version().get()
    }

    /// Returns the spread of configuration over the links.
    pub fn spread(&self) -> &Spread {
        &self.inner.spread
    }

    /// Returns the configuration in force, as it changes; `None` before the first.
    pub fn configuration(&self) -> watch::Receiver<Option<Arc<Configuration>>> {
        self.inner.configuration.subscribe()
    }

    /// Tells whether a source confirmed the configuration in force lately.
    pub fn is_fresh(&self) -> bool {
        self.inner.spread.state(self.now()).is_ready()
    }

    /// Does what the spread of configuration asks for.
    pub fn finish_task(&self, task: Task) {
        let Some(configuration) = task.adopt else {
            return;
        };
        self.inner.configuration.send_if_modified(|present| {
            let newer = present.as_ref().is_none_or(|held| held.version < configuration.version);
            if newer {
                log::info!(version:% = configuration.version; "configuration in force");
                *present = Some(configuration);
            }
            newer
        });
    }

    /// Reports the load of the backend server.
    pub fn load(&self) -> Load {
        let load = self.inner.gate.load();
        Load {
            running: self.inner.jobs.running() as u32,
            waiting: load.waiting,
            held: load.held.max(self.inner.memory.promised()),
            capacity: self.inner.memory.capacity(),
            backlog: load.backlog,
            long_backlog: load.long_backlog,
            leaving: self.is_leaving(),
            sequence: self.inner.load_sequence.fetch_add(1, Ordering::Relaxed),
            ..Load::default()
        }
    }
}
