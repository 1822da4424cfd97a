use bytes::Bytes;
use kumquattiller_base::daemon;
use kumquattiller_base::place::Zone;
use kumquattiller_base::runner;

use crate::fleet::Server;
use crate::peer::Member;

/// Change of one object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A configuration was accepted; holds the document as stored.
    Config(Bytes),
    /// A backend server was registered, or its registration has changed.
    Server(Server),
    /// The registration of a backend server was removed.
    ServerRemoved(runner::Id),
    /// A daemon was registered, or its registration has changed.
    Daemon(Member),
    /// The registration of a daemon was removed.
    DaemonRemoved(daemon::Id),
    /// An availability zone is evacuated.
    Evacuation(Zone),
    /// The evacuation of an availability zone was taken back.
    EvacuationRemoved(Zone),
}

impl Change {
    /// Returns the backend server that was registered or has changed.
    pub fn server(&self) -> Option<Server> {
        match self {
            Self::Server(server) => Some(server.clone()),
            _ => None,
        }
    }

    /// Returns the daemon that was registered or has changed.
    pub fn member(&self) -> Option<Member> {
        match self {
            Self::Daemon(member) => Some(member.clone()),
            _ => None,
        }
    }

    /// Returns the zone that is evacuated.
    pub fn evacuation(&self) -> Option<Zone> {
        match self {
            Self::Evacuation(zone) => Some(zone.clone()),
            _ => None,
        }
    }
}
