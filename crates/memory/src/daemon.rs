use kumquattiller_base::daemon;

/// One incarnation of an entry daemon.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Daemon {
    /// The name of the entry daemon.
    pub id: daemon::Id,
    /// Which start of that entry daemon; later starts have higher numbers.
    pub incarnation: daemon::Incarnation,
}

impl std::fmt::Display for Daemon {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.id, self.incarnation)
    }
}
