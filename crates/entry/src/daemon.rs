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

/// Longest wait at a stop for outcomes to be recorded.
const CLAIMS_FLUSH_LIMIT: Duration = Duration::from_secs(5);

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
    work: TaskTracker,
    leaving: AtomicBool,
    refusing: AtomicBool,
    stopped: CancellationToken,
}

impl Daemon {
    /// Sets up the state; nothing runs yet.
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
            work: TaskTracker::new(),
            leaving: AtomicBool::new(false),
            refusing: AtomicBool::new(false),
            stopped: CancellationToken::new(),
        };
        Self { inner: Arc::new(inner) }
    }

    /// Serves until `shutdown` completes, then finishes all requests and returns.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be listened on.
    pub async fn run(self, shutdown: impl Future<Output = ()>) -> std::io::Result<()> {
        let server = http::start(self.clone()).await?;
        let links = TcpListener::bind(self.settings().link_address).await?;
        log::info!(
            daemon:% = self.settings().id, address:% = self.settings().http_address;
            "entry daemon serves"
        );
        tokio::spawn(link::run(self.clone(), links));
        tokio::spawn(source::run(self.clone()));
        tokio::spawn(peers::run(self.clone()));
        tokio::spawn(limits::run(self.clone()));
        tokio::spawn(orders::run(self.clone()));
        self.serve_claims();
        tokio::spawn(suspects::run(self.clone()));
        shutdown.await;
        self.stop(server).await;
        Ok(())
    }

    /// Returns what runner processes said of their engines.
    pub fn orders(&self) -> &Orders {
        &self.inner.orders
    }

    /// Fails readiness from now on.
    pub fn leave(&self) {
        if !self.inner.leaving.swap(true, Ordering::SeqCst) {
            self.members().leave();
            log::info!(daemon:% = self.settings().id; "entry daemon is leaving");
        }
    }

    /// Acts on the word that a VM is leaving: stops being ready when it is the own one, tells the
    /// runner process when there is a link to it.
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

    /// Fails readiness, then refuses requests, then waits for those under way.
    async fn stop(&self, server: http::Server) {
        self.leave();
        tokio::time::sleep(Duration::from_millis(self.settings().drain_grace_ms)).await;
        self.inner.refusing.store(true, Ordering::SeqCst);
        self.inner.work.close();
        self.inner.work.wait().await;
        self.claims().flush(CLAIMS_FLUSH_LIMIT).await;
        server.stop().await;
        self.inner.stopped.cancel();
        log::info!(daemon:% = self.settings().id; "entry daemon ends");
    }

    /// Serves claims, once.
    fn serve_claims(&self) {
        let inbox = self.inner.claims_inbox.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(inbox) = inbox {
            tokio::spawn(claims::run(self.clone(), inbox));
        }
    }

    /// Returns the requests that ran when engines died.
    pub fn suspects(&self) -> &Suspects {
        &self.inner.suspects
    }

    /// Returns the retries that may still be made.
    pub fn retries(&self) -> MutexGuard<'_, Budget> {
        self.inner.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the claims of non-idempotent requests.
    pub fn claims(&self) -> &Claims {
        &self.inner.claims
    }

    /// Runs a task that a graceful stop waits for.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.inner.work.spawn(task);
    }

    /// Draws the id of a new request.
    pub fn new_request_id(&self) -> request::Id {
        request::Id::from_u128(uuid::Uuid::now_v7().as_u128())
    }

    /// Returns the settings.
    pub fn settings(&self) -> &Settings {
        &self.inner.settings
    }

    /// Returns who the daemon is on links.
    pub fn identity(&self) -> &Identity {
        &self.inner.identity
    }

    /// Returns the present moment.
    pub fn now(&self) -> Moment {
        self.inner.clock.now()
    }

    /// Returns the clock.
    pub fn clock(&self) -> Clock {
        self.inner.clock
    }

    /// Returns the platform's adapter.
    pub fn platform(&self) -> &platform::Client {
        &self.inner.platform
    }

    /// Returns the configuration in force.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(&self.inner.snapshots.borrow())
    }

    /// Returns where new configurations are put in force.
    pub fn snapshots(&self) -> &watch::Sender<Arc<Snapshot>> {
        &self.inner.snapshots
    }

    /// Returns the version of the configuration in force.
    pub fn config_version(&self) -> configuration::Version {
        self.snapshot().configuration().version
    }

    /// Returns the limits of client accounts.
    pub fn limits(&self) -> &Limits {
        &self.inner.limits
    }

    /// Returns the runners that the daemon has links to.
    pub fn runners(&self) -> &Pool {
        &self.inner.runners
    }

    /// Returns the metrics and the decisions.
    pub fn recorder(&self) -> &Recorder {
        &self.inner.recorder
    }

    /// Notes a decision about a request.
    pub fn note(&self, request: request::Id, decision: &str) {
        self.recorder().record_decision(self.now(), request, decision);
    }

    /// Returns the spread of configuration over the links.
    pub fn spread(&self) -> &Spread {
        &self.inner.spread
    }

    /// Returns the entry daemons that this daemon has links to.
    pub fn peers(&self) -> &peers::Table {
        &self.inner.peers
    }

    /// Returns the entry daemons of the availability zone, linked or not.
    pub fn members(&self) -> &peers::Members {
        &self.inner.members
    }

    /// Tells whether a source confirmed the configuration in force lately.
    ///
    /// A version that was adopted and confirmed is put in force a moment later; until then the
    /// one in force is old.
    pub fn is_fresh(&self) -> bool {
        let spread = self.spread();
        spread.state(self.now()).is_ready() && spread.version() == self.config_version()
    }

    /// Tells whether the balancer may send requests here.
    pub fn is_ready(&self) -> bool {
        !self.inner.leaving.load(Ordering::SeqCst)
            && self.config_version() != configuration::Version::NONE
            && self.is_fresh()
            && self.runners().is_settled()
    }

    /// Tells whether new requests are refused.
    pub fn is_refusing(&self) -> bool {
        self.inner.refusing.load(Ordering::SeqCst)
    }

    /// Returns the token that is cancelled once the daemon has ended its requests.
    pub fn stopped(&self) -> &CancellationToken {
        &self.inner.stopped
    }
}
