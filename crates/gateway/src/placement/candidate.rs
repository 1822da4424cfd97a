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
    /// Cost of its slow start, in units of request value; 0 if it has been running for a while.
    pub ramp_cost: f64,
    /// Its pace.
    pub pace: Pace,
    /// Prefill that the server probably saves for the request, since it still holds the beginning of
    /// the prompt, in milliseconds.
    pub saved_ms: f64,
}

impl Candidate {
    /// Creates a candidate of usual pace from a server's id, load and slots.
    pub fn new(id: runner::Id, load: Load, slots: u32) -> Self {
        let rank = server_key(&id);
        Self { id, load, slots, rank, ramp_cost: 0.0, pace: Pace::default(), saved_ms: 0.0 }
    }

    /// Returns the candidate with the cost of its slow start.
    pub fn with_ramp_cost(self, ramp_cost: f64) -> Self {
        Self { ramp_cost, ..self }
    }

    /// Returns the time that it takes for its backlog, in milliseconds.
    pub fn backlog_ms(&self) -> f64 {
        self.load.backlog_ms * self.pace.factor()
    }

    /// Returns the time until it has prefilled its backlog and a part, in milliseconds.
    pub fn part_end_ms(&self, part_ms: f64) -> f64 {
        self.backlog_ms() + part_ms * self.pace.factor()
    }
}
