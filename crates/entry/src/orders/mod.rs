//! Orders to engines, planned by the one daemon that holds the planning lease in the store.
//!
//! Every daemon contends for the lease while the rules define what engines are to have loaded.
//! The holder writes a plan to the store, then sends its orders to runner processes, those not yet
//! fulfilled first.

mod planner;

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use kumquattiller_base::runner;
use kumquattiller_planner::plan::Reports;
use kumquattiller_wire::link;
use tokio::time::sleep;

use crate::Daemon;
use crate::orders::planner::Planner;

/// Pause between steps of the planner.
const STEP_INTERVAL: Duration = Duration::from_secs(1);

/// The last states that runner processes reported of their engines.
#[derive(Debug, Default)]
pub struct Orders {
    reports: Mutex<Reports>,
}

impl Orders {
    /// Records the state in a runner process's answer to an order.
    pub fn record_result(&self, runner: &runner::Id, result: &link::OrderResult) {
        if !result.kind.is_empty() {
            log::debug!(runner:%; "runner refused the order: {}", result.kind);
        }
        if let Ok(state) = serde_json::from_slice(&result.state) {
            self.lock().insert(runner.clone(), state);
        }
    }

    /// Returns the last state that each runner reported.
    pub fn reports(&self) -> Reports {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Reports> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Runs the planner until the daemon stops.
pub async fn run(daemon: Daemon) {
    let mut planner = Planner::new(&daemon);
    while !daemon.stopped().is_cancelled() {
        if !daemon.snapshot().configuration().rules.desired.is_empty() {
            planner.step(&daemon).await;
        }
        tokio::select! {
            () = sleep(STEP_INTERVAL) => {}
            () = daemon.stopped().cancelled() => return,
        }
    }
}
