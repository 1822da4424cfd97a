//! Orders to engines, planned by the daemon that holds the store lease.
//!
//! Every daemon contends for the lease as long as the rules say what engines are to have loaded.
//! The holder commits a plan, then sends its orders to runner processes, the unmet ones first.

mod holder;

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use kumquattiller_base::runner;
use kumquattiller_planner::plan::Reports;
use kumquattiller_wire::link;
use tokio::time::sleep;

use crate::Daemon;
use crate::orders::holder::Holder;

/// Pause between looks at the lease and the plan.
const PERIOD: Duration = Duration::from_secs(1);

/// What runner processes said of their engines.
#[derive(Debug, Default)]
pub struct Orders {
    reports: Mutex<Reports>,
}

impl Orders {
    /// Takes a runner process's answer.
    pub fn take(&self, runner: &runner::Id, result: &link::OrderResult) {
        if !result.kind.is_empty() {
            log::debug!(runner:%; "order was refused: {}", result.kind);
        }
        if let Ok(state) = serde_json::from_slice(&result.state) {
            self.lock().insert(runner.clone(), state);
        }
    }

    /// Returns the last reports.
    pub fn reports(&self) -> Reports {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Reports> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Contends for the lease and plans while it is held, until the daemon stops.
pub async fn run(daemon: Daemon) {
    let mut holder = Holder::new(&daemon);
    while !daemon.stopped().is_cancelled() {
        if !daemon.snapshot().configuration().rules.desired.is_empty() {
            holder.step(&daemon).await;
        }
        tokio::select! {
            () = sleep(PERIOD) => {}
            () = daemon.stopped().cancelled() => return,
        }
    }
}
