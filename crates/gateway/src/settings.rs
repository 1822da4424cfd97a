//! Settings of a gateway, which its adapter reads from the platform's settings file.

use std::net::SocketAddr;
use std::time::Duration;

use kumquattiller_base::daemon;

use crate::budget;

/// The settings of one daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The daemon's name, unique in the fleet.
    pub name: daemon::Id,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where the balancer asks whether the daemon is ready.
    pub ready: SocketAddr,
    /// Where other daemons reach it, by datagram and by connection.
    pub peer: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// Time from the order to stop until the process is killed.
    pub grace: Duration,
    /// Bounds of resending.
    pub budget: budget::Bounds,
}
