use std::time::Duration;

use crate::rate_limit::Rate;

/// Effect of a response or a report on the limit of a server, for the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// The server has stated this limit.
    Stated(Rate),
    /// The server states no limit any more.
    Lifted,
    /// The server is cold, for so much longer.
    Cold(Duration),
    /// The server is warm.
    Warm,
}
