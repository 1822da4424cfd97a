//! Recent demand of one daemon for one account, as other daemons may see it.

use std::collections::VecDeque;
use std::time::Duration;

use kumquattiller_base::rate::TokensPerSecond;
use kumquattiller_base::time::Moment;

/// Time after which a published demand counts as received by every daemon.
pub const PROPAGATION_TIME: Duration = Duration::from_secs(5);

/// Time without a published demand after which a daemon counts as silent.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(4);

/// Demands recently published by one daemon, with the time of each.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    recent: VecDeque<(Moment, TokensPerSecond)>,
}

impl Demand {
    /// Adds a published or received demand.
    pub fn push(&mut self, demand: TokensPerSecond, now: Moment) {
        self.recent.push_back((now, demand));
        let is_old = |at: Moment| now.since(at) > PROPAGATION_TIME * 3;
        while self.recent.len() > 1 && is_old(self.recent[0].0) {
            self.recent.pop_front();
        }
    }

    /// Returns whether the latest demand is at most [`PEER_TIMEOUT`] old.
    pub fn is_fresh(&self, now: Moment) -> bool {
        self.recent.back().is_some_and(|&(at, _)| now.since(at) <= PEER_TIMEOUT)
    }

    /// Returns the highest demand that any daemon may still calculate with: that of the latest entry
    /// and of all entries that are at most twice [`PROPAGATION_TIME`] old.
    pub fn highest_recent(&self, now: Moment) -> TokensPerSecond {
        let is_recent =
            |&(at, _): &(Moment, TokensPerSecond)| now.since(at) <= PROPAGATION_TIME * 2;
        let last = self.recent.back().map(|&(_, demand)| demand);
        let recent = self.recent.iter().filter(|entry| is_recent(entry)).map(|&(_, demand)| demand);
        recent.chain(last).max().unwrap_or_default()
    }

    /// Returns the lowest demand among the latest entry that every daemon has received and all later
    /// entries, or zero if no entry has reached every daemon yet.
    pub fn lowest_propagated(&self, now: Moment) -> TokensPerSecond {
        let is_propagated =
            |&(at, _): &(Moment, TokensPerSecond)| now.since(at) >= PROPAGATION_TIME;
        let Some(latest_propagated) = self.recent.iter().rposition(is_propagated) else {
            return TokensPerSecond::ZERO;
        };
        self.recent.range(latest_propagated..).map(|&(_, demand)| demand).min().unwrap_or_default()
    }
}
