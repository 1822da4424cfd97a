//! The shared state of an entry daemon, and its start and stop.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use kumquattiller_base::request;
use kumquattiller_base::time::Moment;
use kumquattiller_clients::Transport;
use kumquattiller_clients::configuration::Spread;
use kumquattiller_clients::platform;
use kumquattiller_inventory::configuration;
use kumquattiller_link::Clock;
use kumquattiller_link::Identity;
use kumquattiller_link::incarnation;
use kumquattiller_recovery::retry::Budget;
use kumquattiller_telemetry::Recorder;
use kumquattiller_wire::Body;
use kumquattiller_wire::link::Leave;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::Settings;
use crate::claims;
use crate::claims::Claims;
use crate::http;
use crate::limits;
use crate::limits::Limits;
use crate::link;
use crate::orders;
use crate::orders::Orders;
use crate::peers;
use crate::runners::Pool;
use crate::snapshot::Snapshot;
use crate::source;
use crate::suspects;
use crate::suspects::Suspects;

/// Longest wait at shutdown for the outcomes of claimed requests to be recorded.
const CLAIMS_FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// An entry daemon; clones share one state.
#[derive(Debug, Clone)]
pub struct Daemon {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    settings: Settings,
    identity: Identity,
    clock: Clock,
    platform: platform::Client,
    snapshots: watch::Sender<Arc<Snapshot>>,
    runners: Pool,
    orders: Orders,
    spread: Spread,
    peers: peers::Table,
    members: peers::Members,
    limits: Limits,
    recorder: Recorder,
    claims: Claims,
    suspects: Suspects,
    retries: Mutex<Budget>,
    claims_inbox: Mutex<Option<claims::Inbox>>,
    tasks: TaskTracker,
    leaving: AtomicBool,
    refusing: AtomicBool,
    stopped: CancellationToken,
}

impl Daemon {
    /// Creates a daemon without starting any task or listener.
    pub fn new(settings: Settings) -> Self {
        let identity = Identity {
            name: settings.id.to_string(),
            incarnation: incarnation::generate(),
            zone: settings.zone.to_string(),
            role: "entry".to_owned(),
        };
        let clock = Clock::start();
        let (claims, claims_inbox) = Claims::new(clock);
        let members = peers::Members::new(&settings, &identity);
        let inner = Inner {
            platform: platform::Client::new(Transport::new(), &settings.platform_url),
            settings,
            identity,
            clock,
            claims,
            suspects: Suspects::default(),
            retries: Mutex::default(),
            claims_inbox: Mutex::new(Some(claims_inbox)),
            snapshots: watch::Sender::new(Arc::new(Snapshot::default())),
            runners: Pool::default(),
            orders: Orders::default(),
            spread: Spread::default(),
            peers: peers::Table::default(),
            members,
            limits: Limits::default(),
            recorder: Recorder::default(),
            tasks: TaskTracker::new(),
            leaving: AtomicBool::new(false),
            refusing: AtomicBool::new(false),
            stopped: CancellationToken::new(),
        };
        Self { inner: Arc::new(inner) }
    }

    /// Serves requests until `shutdown` completes, then drains the remaining requests and returns.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound.
    pub async fn run(self, shutdown: impl Future<Output = ()>) -> std::io::Result<()> {
        let server = http::start(self.clone()).await?;
        let link_listener = TcpListener::bind(self.settings().link_address).await?;
        log::info!(
            daemon:% = self.settings().id, address:% = self.settings().http_address;
            "entry daemon started"
        );
        tokio::spawn(link::run(self.clone(), link_listener));
        tokio::spawn(source::run(self.clone()));
        tokio::spawn(peers::run(self.clone()));
        tokio::spawn(limits::run(self.clone()));
        tokio::spawn(orders::run(self.clone()));
        self.start_claims();
        tokio::spawn(suspects::run(self.clone()));
        shutdown.await;
        self.stop(server).await;
        Ok(())
    }

    /// Returns the latest reports of runner processes about their engines.
    pub fn orders(&self) -> &Orders {
        &self.inner.orders
    }

    /// Fails the readiness check from now on, so that the balancer sends no new requests.
    pub fn leave(&self) {
        if !self.inner.leaving.swap(true, Ordering::SeqCst) {
            self.members().leave();
            log::info!(daemon:% = self.settings().id; "entry daemon starts draining");
        }
    }

    /// Handles the notice that a VM is leaving: fails readiness when it is this daemon's own VM,
    /// otherwise forwards the notice to that VM's runner process over an open link.
    pub fn on_leaving(&self, leave: &Leave) {
        if leave.runner == self.settings().id.as_str() {
            self.leave();
            return;
        }
        let remote = leave.runner.parse().ok().and_then(|id| self.runners().get(&id));
        if let Some(sender) = remote.and_then(|remote| remote.sender()) {
            sender.try_send(Body::Leave(leave.clone()));
        }
    }

    /// Shuts down gracefully: fails readiness, refuses new requests after the drain grace period,
    /// and waits for the requests in flight.
    async fn stop(&self, server: http::Server) {
        self.leave();
        tokio::time::sleep(Duration::from_millis(self.settings().drain_grace_ms)).await;
        self.inner.refusing.store(true, Ordering::SeqCst);
        self.inner.tasks.close();
        self.inner.tasks.wait().await;
        self.claims().flush(CLAIMS_FLUSH_TIMEOUT).await;
        server.stop().await;
        self.inner.stopped.cancel();
        log::info!(daemon:% = self.settings().id; "entry daemon stopped");
    }

    /// Starts the task that serves claims; later calls do nothing.
    fn start_claims(&self) {
        let inbox = self.inner.claims_inbox.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(inbox) = inbox {
            tokio::spawn(claims::run(self.clone(), inbox));
        }
    }

    /// Returns the requests that were running when an engine died.
    pub fn suspects(&self) -> &Suspects {
        &self.inner.suspects
    }

    /// Returns the retry budget.
    pub fn retries(&self) -> MutexGuard<'_, Budget> {
        self.inner.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the claims of non-idempotent requests.
    pub fn claims(&self) -> &Claims {
        &self.inner.claims
    }

    /// Spawns a task that a graceful shutdown waits for.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.inner.tasks.spawn(task);
    }

    /// Generates the id of a new request.
    pub fn new_request_id(&self) -> request::Id {
        request::Id::from_u128(uuid::Uuid::now_v7().as_u128())
    }

    /// Returns the settings.
    pub fn settings(&self) -> &Settings {
        &self.inner.settings
    }

    /// Returns the identity that the daemon presents on links.
    pub fn identity(&self) -> &Identity {
        &self.inner.identity
    }

    /// Returns the current time of the daemon's clock.
    pub fn now(&self) -> Moment {
        self.inner.clock.now()
    }

    /// Returns the clock.
    pub fn clock(&self) -> Clock {
        self.inner.clock
    }

    /// Returns the client of the platform.
    pub fn platform(&self) -> &platform::Client {
        &self.inner.platform
    }

    /// Returns the active configuration.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(&self.inner.snapshots.borrow())
    }

    /// Returns the channel that publishes the active configuration.
    pub fn snapshots(&self) -> &watch::Sender<Arc<Snapshot>> {
        &self.inner.snapshots
    }

    /// Returns the version of the active configuration.
    pub fn config_version(&self) -> configuration::Version {
        self.snapshot().configuration().version
    }

    /// Returns the token-rate limits of client accounts.
    pub fn limits(&self) -> &Limits {
        &self.inner.limits
    }

    /// Returns the runners that the daemon has links to.
    pub fn runners(&self) -> &Pool {
        &self.inner.runners
    }

    /// Returns the recorder of metrics and of decisions about requests.
    pub fn recorder(&self) -> &Recorder {
        &self.inner.recorder
    }

    /// Records a decision about a request, for `kumquattiller explain` and the log.
    pub fn note(&self, request: request::Id, decision: &str) {
        self.recorder().record_decision(self.now(), request, decision);
    }

    /// Returns the distribution of configuration over the links.
    pub fn spread(&self) -> &Spread {
        &self.inner.spread
    }

    /// Returns the entry daemons that this daemon has links to.
    pub fn peers(&self) -> &peers::Table {
        &self.inner.peers
    }

    /// Returns the entry daemons of the availability zone, with or without a link.
    pub fn members(&self) -> &peers::Members {
        &self.inner.members
    }

    /// Returns whether a source recently confirmed the active configuration.
    ///
    /// An adopted version becomes active shortly after it was confirmed; until then the active
    /// version is outdated.
    pub fn has_fresh_configuration(&self) -> bool {
        let spread = self.spread();
        spread.state(self.now()).is_ready() && spread.version() == self.config_version()
    }

    /// Returns whether the balancer may send requests to this daemon.
    pub fn is_ready(&self) -> bool {
        !self.inner.leaving.load(Ordering::SeqCst)
            && self.config_version() != configuration::Version::NONE
            && self.has_fresh_configuration()
            && self.runners().all_dialed()
    }

    /// Returns whether new requests are refused.
    pub fn is_refusing(&self) -> bool {
        self.inner.refusing.load(Ordering::SeqCst)
    }

    /// Returns the token that is cancelled once all requests have ended at shutdown.
    pub fn stopped(&self) -> &CancellationToken {
        &self.inner.stopped
    }
}
