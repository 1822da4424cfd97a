use kumquattiller_base::daemon;

/// One start of an entry daemon.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Daemon {
    /// The entry daemon.
    pub id: daemon::Id,
    /// Which of its starts.
    pub incarnation: daemon::Incarnation,
}

impl std::fmt::Display for Daemon {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.id, self.incarnation)
    }
}
