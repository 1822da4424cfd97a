use kumquattiller_base::daemon;
use kumquattiller_base::rendezvous::Job;

/// Number of daemons of an availability zone that watch the store for changes.
pub const WATCHERS_PER_ZONE: usize = 2;

/// Name of the job for which watchers are chosen.
const WATCH_JOB: &str = "watch the store";

/// How a daemon learns of changes in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// It watches the store and tells its peers.
    Watcher,
    /// It gets the changes from a peer. It asks the store only if its copy is overdue.
    Listener,
}

impl Role {
    /// Returns the role of the daemon `own`. `peers` are the living daemons of its availability zone
    /// that can pass changes on.
    pub fn of<'a>(own: &daemon::Id, peers: impl IntoIterator<Item = &'a daemon::Id>) -> Self {
        let job = Job::named(WATCH_JOB);
        let peers = peers.into_iter().map(daemon::Id::as_str);
        match job.is_chosen(own.as_str(), WATCHERS_PER_ZONE, peers) {
            true => Self::Watcher,
            false => Self::Listener,
        }
    }
}
