/// The crash of a server, identified by the hash of the incarnation that ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Crash(u64);

impl Crash {
    /// Creates a crash from the [`start_key`](crate::fleet::Server::start_key) of the server.
    pub const fn of(start_key: u64) -> Self {
        Self(start_key)
    }

    /// Returns the hash of the incarnation.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl std::fmt::Display for Crash {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
