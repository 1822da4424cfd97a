use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

/// An executed call.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Call {
    /// The HTTP method.
    pub method: String,
    /// The path.
    pub path: String,
    /// The `Idempotency-Key` header, or empty when absent.
    pub key: String,
    /// The body.
    pub body: String,
}

/// Counts of the calls so far, and the delay of each call.
#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) executions: BTreeMap<Call, u64>,
    pub(super) reads: u64,
    pub(super) delay: Duration,
}

impl State {
    /// Records an execution of `call` and returns how many there were so far.
    pub(super) fn record_execution(&mut self, call: Call) -> u64 {
        let count = self.executions.entry(call).or_default();
        *count += 1;
        *count
    }
}
