//! Pauses that servers ask for.
//!
//! A server that refuses a request may state for how long it wants no more of them from this daemon.
//! The pause belongs to the incarnation of the server and not to its registration, which may be
//! gone and come back meanwhile.

use std::collections::BTreeMap;
use std::time::Duration;

use kumquattiller_base::runner;
use kumquattiller_base::time::Moment;

use crate::fleet::MAX_REGISTRATION_DELAY;

/// Number of calls that a server may get in a pause, for requests that it already runs.
const MAX_CALLS: u32 = 2;
/// Longest pause that a server may ask for.
const MAX_PAUSE: Duration = Duration::from_secs(300);

#[derive(Debug)]
struct Pause {
    /// Identifies the incarnation of the server.
    start_key: u64,
    asked_at: Moment,
    until: Moment,
    /// Number of calls that it got meanwhile.
    calls: u32,
}

/// The servers that have asked for a pause which is not over.
#[derive(Debug, Default)]
pub struct Table {
    pauses: BTreeMap<runner::Id, Pause>,
}

impl Table {
    /// Records that a server wants no requests for `pause`, of which five minutes are granted at
    /// most. `start_key` identifies its incarnation. Returns the time, or `None` if an earlier pause
    /// lasts longer.
    pub fn ask(
        &mut self,
        server: &runner::Id,
        start_key: u64,
        pause: Duration,
        now: Moment,
    ) -> Option<Duration> {
        self.restart(server, start_key, now);
        let pause = pause.min(MAX_PAUSE);
        let until = now + pause;
        if until <= now {
            return None;
        }
        let new = Pause { start_key, asked_at: now, until: now, calls: 0 };
        let current = self.pauses.entry(server.clone()).or_insert(new);
        if current.until <= now {
            current.calls = 0;
        }
        current.asked_at = now;
        let is_longer = current.until < until;
        current.until = current.until.max(until);
        is_longer.then_some(pause)
    }

    /// Returns the time for which a server wants no requests, zero if it takes them.
    pub fn left(&self, server: &runner::Id, now: Moment) -> Duration {
        self.pauses.get(server).map_or(Duration::ZERO, |pause| pause.until.since(now))
    }

    /// Returns whether a server may get a call that cannot wait, and counts it: outside a pause
    /// always, in a pause twice.
    pub fn allow_call(&mut self, server: &runner::Id, now: Moment) -> bool {
        let Some(pause) = self.pauses.get_mut(server).filter(|pause| pause.until > now) else {
            return true;
        };
        pause.calls += 1;
        pause.calls <= MAX_CALLS
    }

    /// Ends the pause of a server that has restarted, unless the pause was asked for so recently that
    /// it may be one of the new incarnation.
    pub fn restart(&mut self, server: &runner::Id, start_key: u64, now: Moment) {
        let Some(pause) = self.pauses.get_mut(server).filter(|p| p.start_key != start_key) else {
            return;
        };
        match now.since(pause.asked_at) <= MAX_REGISTRATION_DELAY {
            true => pause.start_key = start_key,
            false => _ = self.pauses.remove(server),
        }
    }

    /// Removes the pauses that are over; returns their servers.
    pub fn expire(&mut self, now: Moment) -> Vec<runner::Id> {
        let is_over = |pause: &Pause| pause.until <= now;
        self.pauses.extract_if(.., |_, pause| is_over(pause)).map(|(id, _)| id).collect()
    }
}
