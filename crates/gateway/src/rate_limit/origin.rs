/// Where a daemon learned that a server is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Origin {
    /// The server's registration.
    Registration,
    /// A response of the server to this daemon.
    Response,
    /// A report of a peer.
    Peer,
}
