use std::net::SocketAddr;
use std::time::Duration;

use kumquattiller_base::place::Zone;
use kumquattiller_base::runner;
use kumquattiller_base::service;
use kumquattiller_base::time::Moment;
use xxhash_rust::xxh3::xxh3_64;

/// A backend server as its registration describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Id of the server.
    pub id: runner::Id,
    /// The service that it belongs to.
    pub service: service::Name,
    /// Address for requests.
    pub address: SocketAddr,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the server is draining, which means that it takes no new work.
    pub draining: bool,
    /// Start time of this incarnation, in Unix milliseconds, if the registration states it.
    pub started_ms: Option<u64>,
    /// Availability zone, if the registration states it.
    pub zone: Option<Zone>,
    /// How much longer the server is cold, as of the registration; zero if it is warm.
    pub cold_left: Duration,
}

/// Availability of a server for new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Status {
    /// The server may get new work.
    Ready,
    /// The server is marked as draining, by its registration or by a peer's report.
    #[strum(serialize = "leaving")]
    Draining,
    /// The registration lapsed during an outage of the store; the server may get work until the
    /// given time.
    Lapsed(Moment),
}

impl Server {
    /// Returns a hash that identifies this incarnation of the server, identical in all daemons.
    pub fn start_key(&self) -> u64 {
        let started = self.started_ms.unwrap_or_default().to_le_bytes();
        xxh3_64(&[self.id.as_str().as_bytes(), &started].concat())
    }
}
