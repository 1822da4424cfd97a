//! The choice of a runner, with its reason.

mod reason;

use kumquattiller_base::runner;

pub use reason::Reason;

/// A runner picked for one attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The runner.
    pub runner: runner::Id,
    /// Its slot in the [table](crate::table::Table::runners).
    pub slot: usize,
    /// The reason for picking it.
    pub reason: Reason,
}
