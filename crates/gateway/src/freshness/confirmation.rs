use std::time::Duration;

use crate::freshness::Revision;

/// What a daemon tells its peers about its copy of a kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Confirmation {
    /// Last change of the kind that the copy contains.
    pub last_change: Revision,
    /// Revision up to which the copy is complete; no change of the kind lies between the two.
    pub revision: Revision,
    /// Time since the store confirmed the copy to that daemon.
    pub age: Duration,
}
