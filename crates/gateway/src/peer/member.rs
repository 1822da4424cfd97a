use std::net::SocketAddr;

use kumquattiller_base::daemon;
use kumquattiller_base::place::Zone;

/// A daemon as its registration describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Name of the daemon.
    pub id: daemon::Id,
    /// Address for reports and for documents.
    pub address: SocketAddr,
    /// Its availability zone; a daemon of an older version states none.
    pub zone: Option<Zone>,
    /// Address at which it passes on changes; a daemon of an older version has none.
    pub changes: Option<SocketAddr>,
}
