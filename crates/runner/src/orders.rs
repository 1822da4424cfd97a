//! Orders to the engine: taken from links, carried out one at a time.

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

/// Time between looks at the engine's state.
const PERIOD: Duration = Duration::from_secs(1);
/// Longest wait for a command, which may load from the weight store.
const COMMAND_LIMIT: Duration = Duration::from_secs(600);
/// Kind of an answer to an order that was taken, or to a question without an order.
const TAKEN: &str = "";
/// Kind of an answer to an order with an old number.
const OLD: &str = "old_fencing";
/// Kind of an answer before the lease was read.
const UNCONFIRMED: &str = "unconfirmed";

/// The orders of a runner process.
#[derive(Debug, Default)]
pub struct Orders {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    executor: Executor,
    /// An order came before the lease was read.
    wanted: bool,
    state: Option<engine::State>,
    drifts: u64,
}

impl Orders {
    /// Takes an order, or a question without one, and answers with the engine's state.
    pub fn take(&self, frame: &link::Order) -> link::OrderResult {
        let mut inner = self.lock();
        let kind = match serde_json::from_slice::<Order>(&frame.data) {
            Ok(order) => match inner.executor.accept(order) {
                Ok(()) => TAKEN,
                Err(Refusal::Old { .. }) => OLD,
                Err(Refusal::Unconfirmed) => {
                    inner.wanted = true;
                    UNCONFIRMED
                }
            },
            Err(_) => TAKEN,
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

    /// Notes the engine's state; returns the next order to it.
    fn observe(&self, state: engine::State) -> Option<engine::Order> {
        let mut inner = self.lock();
        let report = inner.executor.reconcile(&state);
        if report.drifted {
            inner.drifts += 1;
            log::warn!("the engine was changed by hand and is put back");
        }
        inner.state = Some(state);
        report.order
    }

    fn wants_lease(&self) -> bool {
        let inner = self.lock();
        inner.wanted && !inner.executor.is_lease_confirmed()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Carries out orders until the process stops; returns at once beside a plain service.
pub async fn run(process: Process) {
    let settings = process.settings();
    if settings.backend.kind != service::Kind::Model {
        return;
    }
    let url = settings.platform_url.as_deref();
    let platform = url.map(|url| platform::Client::new(Transport::new(), url));
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = process.stopped().cancelled() => return,
        }
        if process.orders().wants_lease() {
            confirm(&process, platform.as_ref()).await;
        }
        let Ok(state) = process.engine().state().await else { continue };
        if let Some(order) = process.orders().observe(state) {
            carry_out(&process, &order).await;
        }
    }
}

/// Reads the lease, so that orders of its former holders are refused.
async fn confirm(process: &Process, platform: Option<&platform::Client>) {
    let Some(platform) = platform else { return };
    match platform.get::<lease::Record>(lease::KIND, lease::NAME).await {
        Ok(Some(stored)) => process.orders().lock().executor.confirm_lease(stored.value.fencing),
        Ok(None) => {}
        Err(error) => log::warn!("orders wait, the lease was not read: {error}"),
    }
}

/// Sends one order to the engine.
async fn carry_out(process: &Process, order: &engine::Order) {
    let answer = timeout(COMMAND_LIMIT, process.engine().order(order)).await;
    let refused = matches!(&answer, Ok(Err(Error::Refused(e))) if e.kind == "old_fencing");
    let newer = if refused { process.engine().state().await.ok() } else { None };
    let mut inner = process.orders().lock();
    match newer {
        Some(state) => inner.executor.command_superseded(Fencing::new(state.fencing)),
        None => inner.executor.command_finished(),
    }
    log::info!(command:? = order.command, fencing = order.fencing; "order ended: {answer:?}");
}
