use std::collections::HashMap;
use std::time::Duration;

use kumquattiller_base::runner;
use kumquattiller_base::time::Moment;

/// The servers that have started during the life of this daemon, and when it saw that first.
#[derive(Debug, Default)]
pub struct Starts {
    starts: HashMap<runner::Id, Moment>,
}

impl Starts {
    /// Records that a server has started.
    pub fn record(&mut self, server: &runner::Id, now: Moment) {
        self.starts.insert(server.clone(), now);
    }

    /// Returns the time since a server started, if that was during the life of this daemon and not
    /// long ago.
    pub fn age(&self, server: &runner::Id, now: Moment) -> Option<Duration> {
        self.starts.get(server).map(|at| now.since(*at))
    }

    /// Forgets starts that are longer ago than `retention`.
    pub fn expire(&mut self, retention: Duration, now: Moment) {
        self.starts.retain(|_, at| now.since(*at) < retention);
    }
}
