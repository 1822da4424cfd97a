use std::time::Duration;

use crate::freshness::Revision;

/// What a daemon tells its peers about its copy of a kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Confirmation {
    /// Revision up to which the copy contains all changes of its kind, none of which is later.
    pub last_change: Revision,
    /// Time since the store confirmed the copy to that daemon.
    pub age: Duration,
}
