use std::time::Duration;

use crate::rate_limit::Rate;

/// How the servers of a service behave after their start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// Time for which a server is cold after it has started.
    pub duration: Duration,
    /// Rate of requests that a cold server tolerates from all daemons together.
    pub rate: Rate,
}
