use std::net::SocketAddr;

use kumquattiller_base::runner;
use kumquattiller_base::service;
use kumquattiller_base::time::Moment;
use xxhash_rust::xxh3::xxh3_64;

/// A backend server as its registration describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Its id.
    pub id: runner::Id,
    /// The service that it belongs to.
    pub service: service::Name,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it says that it is leaving.
    pub leaving: bool,
    /// Start of this incarnation, in Unix milliseconds; none where it is not stated.
    pub started_ms: Option<u64>,
}

/// How a server stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Status {
    /// It may get new work.
    Ready,
    /// It says that it leaves, or a peer saw it say so.
    Leaving,
    /// Its registration lapsed while the store was away; it may get work until the moment.
    Lapsed(Moment),
}

impl Server {
    /// Returns a short name of this start of the server, the same at all daemons.
    pub fn start_key(&self) -> u64 {
        let born = self.started_ms.unwrap_or_default().to_le_bytes();
        xxh3_64(&[self.id.as_str().as_bytes(), &born].concat())
    }
}
