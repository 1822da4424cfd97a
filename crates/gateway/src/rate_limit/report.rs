use std::time::Duration;

use crate::rate_limit::ColdStatement;
use crate::rate_limit::Rate;

/// What a server stated to the daemon that reports it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Statement {
    /// The limit; `None` if the server stated none any more.
    pub rate: Option<Rate>,
    /// Time since the response.
    pub age: Duration,
}

/// What a daemon tells its peers of a server with a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Report {
    /// The incarnation of the server, by [`crate::fleet::Server::start_key`].
    pub server: u64,
    /// Whether the daemon has requests for the server.
    pub wanted: bool,
    /// What the server stated to this daemon itself, if anything.
    pub statement: Option<Statement>,
    /// How much longer the server is cold by what it stated to this daemon itself, if anything.
    pub cold: Option<ColdStatement>,
}
