use kumquattiller_base::runner;

use crate::load::Load;
use crate::load::server_key;
use crate::pace::Pace;

/// A server that a request can be placed on.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Id of the server.
    pub id: runner::Id,
    /// Its load, as far as this daemon knows.
    pub load: Load,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Sort key for assigning servers to the long division, identical in all daemons.
    pub rank: u64,
    /// Its pace.
    pub pace: Pace,
}

impl Candidate {
    /// Creates a candidate of usual pace from a server's id, load and slots.
    pub fn new(id: runner::Id, load: Load, slots: u32) -> Self {
        let rank = server_key(&id);
        Self { id, load, slots, rank, pace: Pace::default() }
    }
    /// Returns the time that it takes for its backlog, in milliseconds.
    pub fn backlog_ms(&self) -> f64 {
        self.load.backlog_ms * self.pace.factor()
    }
}
