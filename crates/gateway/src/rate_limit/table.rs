use std::collections::BTreeMap;
use std::time::Duration;

use kumquattiller_base::daemon;
use kumquattiller_base::runner;
use kumquattiller_base::time::Moment;

use crate::fleet::MAX_REGISTRATION_DELAY;
use crate::peer::Roster;
use crate::rate_limit::Change;
use crate::rate_limit::ColdStatement;
use crate::rate_limit::Entry;
use crate::rate_limit::Origin;
use crate::rate_limit::Rate;
use crate::rate_limit::Report;
use crate::rate_limit::Terms;

/// Time for which the end of a limit is reported to the peers.
const END_RETENTION: Duration = Duration::from_secs(10);
/// Time for which the limit of a server without a registration is kept.
const UNKNOWN_RETENTION: Duration = Duration::from_secs(30);

/// The limits of the servers, and this daemon's shares of them.
#[derive(Debug, Default)]
pub struct Table {
    entries: BTreeMap<runner::Id, Entry>,
}

impl Table {
    /// Records what a server states in a response to a request that was sent at `sent_at`.
    /// `start_key` identifies the incarnation of the server.
    pub fn record_statement(
        &mut self,
        server: &runner::Id,
        start_key: u64,
        rate: Option<Rate>,
        sent_at: Moment,
        now: Moment,
    ) -> Option<Change> {
        let entry = self.entries.get_mut(server).filter(|e| e.start_key == start_key);
        match (entry, rate) {
            (Some(entry), Some(rate)) => {
                let is_new = entry.rate() != Some(rate);
                entry.record_statement(Some(rate), now);
                is_new.then_some(Change::Stated(rate))
            }
            (Some(entry), None) if entry.is_lifted_by(sent_at) => {
                entry.record_statement(None, now);
                Some(Change::Lifted)
            }
            (None, Some(rate)) => {
                let mut entry = Entry::new(start_key, rate, now, now);
                entry.record_statement(Some(rate), now);
                self.insert(server, entry);
                Some(Change::Stated(rate))
            }
            _ => None,
        }
    }

    /// Applies a statement of how much longer a server is cold, unless a newer one is known. Returns
    /// what has changed. A server that becomes cold gets nothing of this daemon until
    /// [`update_cold_shares`](Self::update_cold_shares) is called.
    pub fn record_cold(
        &mut self,
        server: &runner::Id,
        start_key: u64,
        statement: ColdStatement,
        origin: Origin,
        now: Moment,
    ) -> Option<Change> {
        if statement.left.is_zero() && !self.entries.contains_key(server) {
            return None;
        }
        let entry = self
            .entries
            .entry(server.clone())
            .or_insert_with(|| Entry::without_statement(start_key, now));
        if entry.start_key != start_key {
            entry.restart(start_key, MAX_REGISTRATION_DELAY, now);
        }
        let before = entry.cold_left(now);
        entry.record_cold(statement, origin, now);
        let left = entry.cold_left(now);
        match (before.is_zero(), left.is_zero()) {
            (true, false) => Some(Change::Cold(left)),
            (false, true) => Some(Change::Warm),
            _ => None,
        }
    }

    /// Determines this daemon's shares of the rates of cold servers again. `terms` returns what holds
    /// for a server.
    pub fn update_cold_shares(
        &mut self,
        own: &daemon::Id,
        roster: &Roster,
        terms: impl Fn(&runner::Id) -> Terms,
        now: Moment,
    ) {
        for (id, entry) in &mut self.entries {
            if !entry.cold_left(now).is_zero() {
                entry.update_cold_share(own, id, roster, terms(id), now);
            }
        }
    }

    /// Applies the report of a peer on the servers that `resolve` finds by their start keys; returns
    /// what has changed.
    pub fn merge(
        &mut self,
        peer: &daemon::Id,
        reports: &[Report],
        resolve: impl Fn(u64) -> Option<runner::Id>,
        now: Moment,
    ) -> Vec<(runner::Id, Change)> {
        self.forget_unreported(peer, reports);
        let mut changes = Vec::new();
        for report in reports {
            let Some(server) = resolve(report.server) else {
                continue;
            };
            let before = self.rate(&server);
            self.merge_one(&server, peer, report, now);
            match (before, self.rate(&server)) {
                (old, Some(rate)) if old != Some(rate) => {
                    changes.push((server, Change::Stated(rate)));
                }
                (Some(_), None) => changes.push((server, Change::Lifted)),
                _ => {}
            }
        }
        changes
    }

    /// Lets a peer count as a user of the limited servers that it does not report: it does not know
    /// of their limits.
    fn forget_unreported(&mut self, peer: &daemon::Id, reports: &[Report]) {
        for entry in self.entries.values_mut() {
            if !reports.iter().any(|r| r.server == entry.start_key) {
                entry.forget_peer(peer);
            }
        }
    }

    fn merge_one(&mut self, server: &runner::Id, peer: &daemon::Id, report: &Report, now: Moment) {
        if let Some(entry) = self.entries.get_mut(server).filter(|e| e.start_key == report.server) {
            entry.merge(peer, report, now);
            return;
        }
        let statement = report.statement.and_then(|s| Some((s.rate?, now - s.age)));
        if let Some((rate, at)) = statement {
            let mut entry = Entry::new(report.server, rate, at, now);
            entry.merge(peer, report, now);
            self.insert(server, entry);
        }
    }

    /// Inserts the entry of an incarnation, with the cold state that is known of the server.
    fn insert(&mut self, server: &runner::Id, mut entry: Entry) {
        if let Some(old) = self.entries.remove(server) {
            entry.keep_cold(old);
        }
        self.entries.insert(server.clone(), entry);
    }

    /// Determines the shares of this daemon again. `peers` are the other daemons that send requests.
    pub fn update_shares<'a>(
        &mut self,
        own: &daemon::Id,
        peers: impl Iterator<Item = &'a daemon::Id> + Clone,
        join_delay: Duration,
        now: Moment,
    ) {
        for entry in self.entries.values_mut() {
            entry.update_share(own, peers.clone(), join_delay, now);
        }
    }

    /// Records that this daemon has a request for a server; returns whether the peers should hear of
    /// it at once.
    pub fn record_demand(&mut self, server: &runner::Id, now: Moment) -> bool {
        self.entries.get_mut(server).is_some_and(|entry| entry.record_demand(now))
    }

    /// Returns the limit of a server, if it has one.
    pub fn rate(&self, server: &runner::Id) -> Option<Rate> {
        self.entries.get(server).and_then(Entry::rate)
    }

    /// Returns this daemon's share of the limits of a server, if it has one.
    pub fn share(&self, server: &runner::Id, now: Moment) -> Option<Rate> {
        self.entries.get(server).and_then(|entry| entry.share(now))
    }

    /// Returns how much longer a server is cold.
    pub fn cold_left(&self, server: &runner::Id, now: Moment) -> Duration {
        self.entries.get(server).map_or(Duration::ZERO, |entry| entry.cold_left(now))
    }

    /// Returns the servers whose cold states have ended at their times since the last call.
    pub fn take_cold_ends(&mut self, now: Moment) -> Vec<runner::Id> {
        let ended =
            self.entries.iter_mut().filter_map(|(id, e)| e.take_cold_end(now).then_some(id));
        ended.cloned().collect()
    }

    /// Returns whether a server has become cold so recently that what is about to be sent may have been
    /// placed before, without regard to the limit.
    pub fn is_cold_beginning(&self, server: &runner::Id, now: Moment) -> bool {
        self.entries.get(server).is_some_and(|entry| entry.is_cold_beginning(now))
    }

    /// Returns the number of cold servers.
    pub fn cold(&self, now: Moment) -> usize {
        self.entries.values().filter(|entry| !entry.cold_left(now).is_zero()).count()
    }

    /// Returns whether a request may be sent to a server now.
    pub fn is_open(&self, server: &runner::Id, now: Moment) -> bool {
        self.entries.get(server).is_none_or(|entry| entry.is_open(now))
    }

    /// Returns the time until a request may be sent to a server, or `None` if other daemons use up
    /// its limit.
    pub fn time_left(&self, server: &runner::Id, now: Moment) -> Option<Duration> {
        self.entries.get(server).map_or(Some(Duration::ZERO), |entry| entry.time_left(now))
    }

    /// Counts a request that is sent to a server.
    pub fn take(&mut self, server: &runner::Id, now: Moment) {
        if let Some(entry) = self.entries.get_mut(server) {
            entry.take(now);
        }
    }

    /// Returns what the peers are told.
    pub fn reports(&self, now: Moment) -> impl Iterator<Item = Report> {
        self.entries.values().filter_map(move |entry| entry.report(now))
    }

    /// Discards the limits of a server that has restarted, unless they were stated so recently that
    /// they may be those of the new incarnation.
    pub fn restart(&mut self, server: &runner::Id, start_key: u64, now: Moment) {
        let entry = self.entries.get_mut(server).filter(|entry| entry.start_key != start_key);
        if let Some(entry) = entry {
            entry.restart(start_key, MAX_REGISTRATION_DELAY, now);
        }
    }

    /// Removes limits that have ended, and after a while those of servers that are not `known`.
    pub fn expire(&mut self, now: Moment, known: impl Fn(&runner::Id) -> bool) {
        self.entries.retain(|id, entry| {
            let is_lost = !known(id) && entry.is_older_than(UNKNOWN_RETENTION, now);
            !entry.is_over(END_RETENTION, now) && !is_lost
        });
    }

    /// Returns the number of servers that state a limit.
    pub fn limited(&self) -> usize {
        self.entries.values().filter(|entry| entry.rate().is_some()).count()
    }

    /// Returns whether no limit is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
