//! The state of a runner process that its tasks share, and how the process starts and stops.

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
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tokio_util::task::task_tracker::TaskTrackerToken;

use crate::Settings;
use crate::gate::Gate;
use crate::http;
use crate::job;
use crate::link;
use crate::memory::Pool;
use crate::orders;
use crate::orders::Orders;
use crate::reconcile;
use crate::suspects::Suspects;

/// Time for entry daemons to close their links after the process has closed its own direction.
const LINK_CLOSE_LIMIT: Duration = Duration::from_secs(1);
/// Interval of the periodic upkeep of jobs, gate and configuration.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(250);

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
    memory: Pool,
    gate: Gate,
    jobs: job::Table,
    orders: Orders,
    suspects: Suspects,
    recorder: Recorder,
    tasks: TaskTracker,
    /// The sessions of the links.
    links: TaskTracker,
    draining: CancellationToken,
    stopped: CancellationToken,
    spread: Spread,
    configuration: watch::Sender<Option<Arc<Configuration>>>,
    load_sequence: AtomicU64,
}

impl Process {
    /// Creates the state of a process without starting any task.
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
            memory: Pool::new(settings.backend.memory, clock),
            gate: Gate::new(settings.backend.memory, clock),
            settings,
            identity,
            clock,
            jobs: job::Table::default(),
            orders: Orders::default(),
            suspects,
            recorder: Recorder::default(),
            tasks: TaskTracker::new(),
            links: TaskTracker::new(),
            draining: CancellationToken::new(),
            stopped: CancellationToken::new(),
            spread: Spread::default(),
            configuration: watch::Sender::new(None),
            load_sequence: AtomicU64::new(0),
        };
        Self { inner: Arc::new(inner) }
    }

    /// Serves until `shutdown` completes, then drains and returns once all jobs have ended.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound.
    pub async fn run(self, shutdown: impl Future<Output = ()>) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.settings().link_address).await?;
        let health = http::start(self.clone()).await?;
        log::info!(
            runner:% = self.settings().id, address:% = self.settings().link_address;
            "runner process started"
        );
        tokio::spawn(link::run(self.clone(), listener));
        tokio::spawn(self.clone().run_upkeep());
        tokio::spawn(reconcile::run(self.clone()));
        tokio::spawn(orders::run(self.clone()));
        shutdown.await;
        self.drain();
        self.wait_for_tasks().await;
        health.abort();
        Ok(())
    }

    /// Starts to drain: refuses new work from now on and finishes what runs.
    ///
    /// On links this state is called `leaving`.
    pub fn drain(&self) {
        if !self.is_draining() {
            self.inner.draining.cancel();
            log::info!(runner:% = self.settings().id; "runner process started draining");
        }
    }

    /// Waits for the tracked tasks, then stops the process's background tasks and closes the links.
    async fn wait_for_tasks(&self) {
        self.inner.tasks.close();
        self.inner.tasks.wait().await;
        self.inner.stopped.cancel();
        self.inner.links.close();
        if timeout(LINK_CLOSE_LIMIT, self.inner.links.wait()).await.is_err() {
            log::warn!(open = self.inner.links.len(); "links were not closed in time");
        }
        log::info!(runner:% = self.settings().id; "runner process stopped");
    }

    /// Removes ended jobs after their retention, cancels abandoned jobs, advances the gate and
    /// sends the configuration probes that are due, until the process stops.
    async fn run_upkeep(self) {
        let mut ticks = interval(UPKEEP_INTERVAL);
        while !self.inner.stopped.is_cancelled() {
            ticks.tick().await;
            self.inner.jobs.sweep(self.now());
            self.inner.gate.advance();
            self.apply_task(self.inner.spread.tick(self.now()));
        }
    }

    /// Spawns a task that a graceful stop waits for.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.inner.tasks.spawn(task);
    }

    /// Spawns the session of a link, which a graceful stop ends last.
    pub fn spawn_link(&self, session: impl Future<Output = ()> + Send + 'static) {
        self.inner.links.spawn(session);
    }

    /// Returns the settings.
    pub fn settings(&self) -> &Settings {
        &self.inner.settings
    }

    /// Returns the identity with which the process introduces itself on links.
    pub fn identity(&self) -> &Identity {
        &self.inner.identity
    }

    /// Returns the current time of the process's clock.
    pub fn now(&self) -> Moment {
        self.inner.clock.now()
    }

    /// Returns the client of the model engine.
    pub fn engine(&self) -> &engine::Client {
        &self.inner.engine
    }

    /// Returns the client of the plain service.
    pub fn service(&self) -> &service::Client {
        &self.inner.service
    }

    /// Returns the pool of the engine's memory.
    pub fn memory(&self) -> &Pool {
        &self.inner.memory
    }

    /// Returns the admission gate of the engine.
    pub fn gate(&self) -> &Gate {
        &self.inner.gate
    }

    /// Returns the planner's orders to the engine.
    pub fn orders(&self) -> &Orders {
        &self.inner.orders
    }

    /// Returns the table of jobs.
    pub fn jobs(&self) -> &job::Table {
        &self.inner.jobs
    }

    /// Returns the monitor that reports the requests running when the engine dies.
    pub fn suspects(&self) -> &Suspects {
        &self.inner.suspects
    }

    /// Returns the recorder of metrics and of decisions about requests.
    pub fn recorder(&self) -> &Recorder {
        &self.inner.recorder
    }

    /// Returns the token that is cancelled when the process starts to drain.
    pub fn draining(&self) -> &CancellationToken {
        &self.inner.draining
    }

    /// Returns a guard; a graceful stop waits until it is dropped.
    pub fn track_task(&self) -> TaskTrackerToken {
        self.inner.tasks.token()
    }

    /// Returns whether the process is draining.
    pub fn is_draining(&self) -> bool {
        self.inner.draining.is_cancelled()
    }

    /// Returns the token that is cancelled once all tracked tasks have ended.
    pub fn stopped(&self) -> &CancellationToken {
        &self.inner.stopped
    }

    /// Returns the version of the configuration that the process holds.
    pub fn config_version(&self) -> u64 {
        self.inner.spread.version().get()
    }

    /// Returns the exchange of configuration versions over the links.
    pub fn spread(&self) -> &Spread {
        &self.inner.spread
    }

    /// Returns a receiver of the active configuration; `None` before the first one arrives.
    pub fn configuration(&self) -> watch::Receiver<Option<Arc<Configuration>>> {
        self.inner.configuration.subscribe()
    }

    /// Returns whether a source confirmed the configuration recently enough to act on it.
    pub fn has_fresh_configuration(&self) -> bool {
        self.inner.spread.state(self.now()).is_ready()
    }

    /// Activates the configuration of `task`, if any and if it is newer than the active one.
    pub fn apply_task(&self, task: Task) {
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

    /// Returns the load of the backend server, with the next sequence number.
    pub fn load(&self) -> Load {
        let load = self.inner.gate.load();
        Load {
            running: self.inner.jobs.active_count() as u32,
            waiting: load.waiting,
            held: load.held.max(self.inner.memory.committed()),
            capacity: self.inner.memory.capacity(),
            backlog: load.backlog,
            long_backlog: load.long_backlog,
            draining: self.is_draining(),
            sequence: self.inner.load_sequence.fetch_add(1, Ordering::Relaxed),
            ..Load::default()
        }
    }
}
