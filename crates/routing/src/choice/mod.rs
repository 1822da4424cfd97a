//! Choices of a runner and why they were made.

mod reason;

use kumquattiller_base::runner;

pub use reason::Reason;

/// A runner picked for one attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The runner.
    pub runner: runner::Id,
    /// Its place in the table.
    pub slot: usize,
    /// Why it was picked.
    pub reason: Reason,
}
