use std::time::Duration;

use crate::rate_limit::Rate;
use crate::settings::ColdBound;

/// What the share of a cold server depends on, besides the daemons.
#[derive(Debug, Clone, Copy)]
pub struct Terms {
    /// The rate that the server tolerates; `None` if its service has no cold rate.
    pub rate: Option<Rate>,
    /// How far the rate may be exceeded.
    pub bound: ColdBound,
    /// Time for which the daemons have to be known before a share is used.
    pub join_delay: Duration,
}
