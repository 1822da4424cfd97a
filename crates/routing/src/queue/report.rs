use std::time::Duration;

use crate::queue::Consumption;
use crate::queue::Identity;
use crate::queue::Place;
use crate::queue::Slot;

/// What a daemon tells the others about its queue. The receiver converts moments to its own clock.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Report {
    /// The first waiting requests in its order.
    pub waiting: Vec<Place>,
    /// Work of the waiting requests that are not listed.
    pub other_work: Duration,
    /// Sums of what it has promised.
    pub slots: Vec<Slot>,
    /// Identities of the requests that it has promised to serve, the newest ones.
    pub promised: Vec<Identity>,
    /// Identities of the requests that have returned to it, the newest ones.
    pub returned: Vec<Identity>,
    /// The largest consumers at this daemon.
    pub usages: Vec<Consumption>,
}
