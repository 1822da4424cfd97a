//! The demand of one daemon for one account, as others see it.

use std::collections::VecDeque;
use std::time::Duration;

use kumquattiller_base::rate::TokensPerSecond;
use kumquattiller_base::time::Moment;

/// Age that a published demand has when every daemon is taken to have heard of it.
pub const VIEW_AGE: Duration = Duration::from_secs(5);

/// Age after which a daemon that was not heard of counts as unheard.
pub const UNHEARD_AGE: Duration = Duration::from_secs(4);

/// Demands published or heard in the recent past.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    recent: VecDeque<(Moment, TokensPerSecond)>,
}

impl Demand {
    /// Adds a demand.
    pub fn push(&mut self, demand: TokensPerSecond, now: Moment) {
        self.recent.push_back((now, demand));
        let is_old = |at: Moment| now.since(at) > VIEW_AGE * 3;
        while self.recent.len() > 1 && is_old(self.recent[0].0) {
            self.recent.pop_front();
        }
    }

    /// Tells whether a demand was added lately.
    pub fn is_heard(&self, now: Moment) -> bool {
        self.recent.back().is_some_and(|&(at, _)| now.since(at) <= UNHEARD_AGE)
    }

    /// Returns the highest demand that may still be in somebody's view.
    pub fn highest(&self, now: Moment) -> TokensPerSecond {
        let is_recent = |&(at, _): &(Moment, TokensPerSecond)| now.since(at) <= VIEW_AGE * 2;
        let last = self.recent.back().map(|&(_, demand)| demand);
        let recent = self.recent.iter().filter(|entry| is_recent(entry)).map(|&(_, d)| d);
        recent.chain(last).max().unwrap_or_default()
    }

    /// Returns the lowest demand since the last one that everybody has heard of.
    pub fn lowest_known(&self, now: Moment) -> TokensPerSecond {
        let is_known = |&(at, _): &(Moment, TokensPerSecond)| now.since(at) >= VIEW_AGE;
        let Some(known) = self.recent.iter().rposition(is_known) else {
            return TokensPerSecond::ZERO;
        };
        self.recent.range(known..).map(|&(_, demand)| demand).min().unwrap_or_default()
    }
}
