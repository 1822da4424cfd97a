use std::net::SocketAddr;

use kumquattiller_base::daemon;
use kumquattiller_base::place;

use crate::State;

/// A membership entry as exchanged between daemons.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// ID of the daemon.
    pub id: daemon::Id,
    /// Incarnation of the daemon: set at its start, raised to refute a suspicion and after a pause.
    pub incarnation: daemon::Incarnation,
    /// Address on which it listens for links.
    pub address: SocketAddr,
    /// Availability zone of the daemon.
    pub zone: place::Zone,
    /// State of the member as seen by the sender.
    pub state: State,
}

impl Member {
    /// Returns whether this entry takes precedence over `other`, an entry of the same daemon.
    pub(crate) fn is_newer_than(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }
}
