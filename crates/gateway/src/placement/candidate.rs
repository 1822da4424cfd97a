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
    /// Prefill that the server probably saves for the request, since it still holds the beginning of
    /// the prompt, in milliseconds.
    pub saved_ms: f64,
}

impl Candidate {
    /// Creates a candidate from a server's id, load and slots.
    pub fn new(id: runner::Id, load: Load, slots: u32) -> Self {
        let rank = server_key(&id);
        Self { id, load, slots, rank, saved_ms: 0.0 }
    }
}
