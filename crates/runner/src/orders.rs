//! Orders of the planner to the engine.
//!
//! Orders arrive on links, at most one is carried out at a time, and orders with an old fencing
//! number are refused.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use kumquattiller_base::service;
use kumquattiller_clients::Transport;
use kumquattiller_clients::engine::Error;
use kumquattiller_clients::platform;
use kumquattiller_dialect::engine;
use kumquattiller_planner::Fencing;
use kumquattiller_planner::executor::Executor;
use kumquattiller_planner::executor::Order;
use kumquattiller_planner::executor::Refusal;
use kumquattiller_planner::lease;
use kumquattiller_wire::link;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::timeout;

use crate::Process;

/// Time between queries of the engine's state.
const STATE_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a command, which may have to load a model from the weight store.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(600);
/// Result kind for an accepted order, and for a query that carries no order.
const ACCEPTED: &str = "";
/// Result kind for an order whose fencing number is old.
const OLD_FENCING: &str = "old_fencing";
/// Result kind for an order that arrives before the lease was read.
const UNCONFIRMED: &str = "unconfirmed";

/// The orders to one engine and the engine's last known state.
#[derive(Debug, Default)]
pub struct Orders {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    executor: Executor,
    /// An order arrived before the lease was read.
    lease_needed: bool,
    state: Option<engine::State>,
    /// Manual changes of the engine's state that were found.
    drifts: u64,
}

impl Orders {
    /// Accepts or refuses the order of a frame; the result carries the engine's last known state.
    ///
    /// A frame whose data is not an order only queries the state.
    pub fn handle(&self, frame: &link::Order) -> link::OrderResult {
        let mut inner = self.lock();
        let kind = match serde_json::from_slice::<Order>(&frame.data) {
            Ok(order) => match inner.executor.accept(order) {
                Ok(()) => ACCEPTED,
                Err(Refusal::Old { .. }) => OLD_FENCING,
                Err(Refusal::Unconfirmed) => {
                    inner.lease_needed = true;
                    UNCONFIRMED
                }
            },
            Err(_) => ACCEPTED,
        };
        let state = inner.state.as_ref().and_then(|state| serde_json::to_vec(state).ok());
        link::OrderResult {
            id: frame.id,
            highest_fencing: inner.executor.highest().fencing.get(),
            kind: kind.to_owned(),
            state: state.unwrap_or_default().into(),
            drifts: inner.drifts,
        }
    }

    /// Records the engine's state; returns the next order to send to the engine.
    fn update_state(&self, state: engine::State) -> Option<engine::Order> {
        let mut inner = self.lock();
        let report = inner.executor.reconcile(&state);
        if report.drifted {
            inner.drifts += 1;
            log::warn!("the engine was changed by hand; restoring the ordered state");
        }
        inner.state = Some(state);
        report.order
    }

    fn needs_lease(&self) -> bool {
        let inner = self.lock();
        inner.lease_needed && !inner.executor.is_lease_confirmed()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Carries out orders until the process stops; returns at once if the backend server is a plain
/// service.
pub async fn run(process: Process) {
    let settings = process.settings();
    if settings.backend.kind != service::Kind::Model {
        return;
    }
    let url = settings.platform_url.as_deref();
    let platform = url.map(|url| platform::Client::new(Transport::new(), url));
    let mut ticks = interval(STATE_POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = process.stopped().cancelled() => return,
        }
        if process.orders().needs_lease() {
            read_lease(&process, platform.as_ref()).await;
        }
        let Ok(state) = process.engine().state().await else { continue };
        if let Some(order) = process.orders().update_state(state) {
            send_order(&process, &order).await;
        }
    }
}

/// Reads the lease's fencing number, so that orders of former lease holders are refused.
async fn read_lease(process: &Process, platform: Option<&platform::Client>) {
    let Some(platform) = platform else { return };
    match platform.get::<lease::Record>(lease::KIND, lease::NAME).await {
        Ok(Some(stored)) => process.orders().lock().executor.confirm_lease(stored.value.fencing),
        Ok(None) => {}
        Err(error) => {
            log::warn!("cannot read the lease, orders stay refused until it is read: {error}")
        }
    }
}

/// Sends an order to the engine and records whether the engine refused its fencing number.
async fn send_order(process: &Process, order: &engine::Order) {
    let answer = timeout(COMMAND_TIMEOUT, process.engine().order(order)).await;
    let refused = matches!(&answer, Ok(Err(Error::Refused(e))) if e.kind == "old_fencing");
    let newer = if refused { process.engine().state().await.ok() } else { None };
    let mut inner = process.orders().lock();
    match newer {
        Some(state) => inner.executor.command_superseded(Fencing::new(state.fencing)),
        None => inner.executor.command_finished(),
    }
    log::info!(command:? = order.command, fencing = order.fencing; "order finished: {answer:?}");
}
