use kumquattiller_base::runner;

use crate::load::Load;
use crate::load::server_key;

/// A server that may get a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The server.
    pub id: runner::Id,
    /// What it has in flight, as far as this daemon knows.
    pub load: Load,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Its place in the order in which servers are taken for long prompts, the same at all daemons.
    pub rank: u64,
}

impl Candidate {
    /// Describes a server.
    pub fn new(id: runner::Id, load: Load, slots: u32) -> Self {
        let rank = server_key(&id);
        Self { id, load, slots, rank }
    }
}
