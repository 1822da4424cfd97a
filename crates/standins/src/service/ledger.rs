use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

/// What was executed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Posting {
    /// The method.
    pub method: String,
    /// The path.
    pub path: String,
    /// The `Idempotency-Key`, or empty.
    pub key: String,
    /// The body.
    pub body: String,
}

/// Executions so far, and the present delay.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    pub(super) executions: BTreeMap<Posting, u64>,
    pub(super) lookups: u64,
    pub(super) delay: Duration,
}

impl Ledger {
    /// Counts an execution and returns its number, from 1.
    pub(super) fn execute(&mut self, posting: Posting) -> u64 {
        let count = self.executions.entry(posting).or_default();
        *count += 1;
        *count
    }
}
