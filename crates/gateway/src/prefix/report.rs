use std::time::Duration;

use kumquattiller_base::size::Tokens;

/// A prefix that a server probably holds, as daemons tell one another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Identifies the server and its incarnation.
    pub server: u64,
    /// Hash of the prefix.
    pub hash: u64,
    /// Length of the prefix.
    pub tokens: Tokens,
    /// Length of its last part.
    pub added: Tokens,
    /// Time since its last use.
    pub age: Duration,
}
