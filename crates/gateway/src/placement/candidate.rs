use kumquattiller_base::runner;

use crate::load::Load;
use crate::load::server_key;

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
    /// Cost of its slow start, in units of request value; 0 if it has been running for a while.
    pub ramp_cost: f64,
}

impl Candidate {
    /// Creates a candidate from a server's id, load and slots.
    pub fn new(id: runner::Id, load: Load, slots: u32) -> Self {
        let rank = server_key(&id);
        Self { id, load, slots, rank, ramp_cost: 0.0 }
    }

    /// Returns the candidate with the cost of its slow start.
    pub fn with_ramp_cost(self, ramp_cost: f64) -> Self {
        Self { ramp_cost, ..self }
    }
}
