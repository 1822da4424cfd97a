use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use kumquattiller_base::request;
use kumquattiller_base::time::Moment;

use crate::explain::History;
use crate::metrics::Metrics;

/// Metrics and request decisions of a process, shared by its tasks.
#[derive(Debug, Default)]
pub struct Recorder {
    metrics: Metrics,
    history: Mutex<History>,
}

impl Recorder {
    /// Returns the metrics.
    pub const fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Records a decision about a request, for `kumquattiller explain` and the log.
    pub fn record_decision(&self, now: Moment, request: request::Id, decision: &str) {
        log::debug!(request:% = request; "{decision}");
        self.history().record(now, request, decision);
    }

    /// Returns the decisions about a request, oldest first; empty when the request is unknown.
    pub fn lines(&self, now: Moment, request: request::Id) -> Vec<String> {
        self.history().lines(now, request)
    }

    fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
