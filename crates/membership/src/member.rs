use std::net::SocketAddr;

use kumquattiller_base::daemon;
use kumquattiller_base::place;

use crate::State;

/// What travels about a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its id.
    pub id: daemon::Id,
    /// Its start, raised each time that it refutes a suspicion.
    pub incarnation: daemon::Incarnation,
    /// Where it listens for links.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: place::Zone,
    /// What the sender believes.
    pub state: State,
}

impl Member {
    /// Tells whether this is later news about the member than `other`.
    pub(crate) fn is_newer_than(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }
}
