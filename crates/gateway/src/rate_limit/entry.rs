use std::collections::BTreeSet;
use std::time::Duration;

use kumquattiller_base::daemon;
use kumquattiller_base::rendezvous::Job;
use kumquattiller_base::runner;
use kumquattiller_base::time::Moment;

use crate::peer::Roster;
use crate::rate_limit::Allowance;
use crate::rate_limit::Cold;
use crate::rate_limit::ColdStatement;
use crate::rate_limit::Origin;
use crate::rate_limit::Rate;
use crate::rate_limit::Report;
use crate::rate_limit::Statement;
use crate::rate_limit::Terms;

/// Number of daemons that may share the lowest rates.
const MIN_SHARERS: usize = 4;
/// Time without a request for a server after which a daemon gives up its share.
const MAX_UNUSED_TIME: Duration = Duration::from_secs(10);

/// Returns how many daemons may share a rate: each may have saved one request, and together these
/// should not be more than a few, or one second's worth of the rate.
pub fn max_sharers(rate: Rate) -> usize {
    MIN_SHARERS.saturating_add(rate.per_second() as usize)
}

/// A limit, or its end, at the time of the response that states it.
#[derive(Debug, Clone, Copy)]
struct Dated {
    rate: Option<Rate>,
    at: Moment,
}

/// A time in which this daemon has had requests for a server.
#[derive(Debug, Clone, Copy)]
struct Use {
    since: Moment,
    last: Moment,
}

/// What is known of the limits of one server: the one that it states, and the one of its cold state.
#[derive(Debug)]
pub(super) struct Entry {
    /// Identifies the incarnation of the server.
    pub(super) start_key: u64,
    latest: Dated,
    /// What the server stated to this daemon itself.
    own: Option<Dated>,
    current_use: Option<Use>,
    /// Peers that know of the limit and do not use the server.
    not_using: BTreeSet<daemon::Id>,
    /// What this daemon may send under the stated limit.
    allowance: Allowance,
    cold: Cold,
}

impl Entry {
    /// Creates the entry of a server that has stated a limit at `at`.
    pub(super) const fn new(start_key: u64, rate: Rate, at: Moment, now: Moment) -> Self {
        Self {
            start_key,
            latest: Dated { rate: Some(rate), at },
            own: None,
            current_use: None,
            not_using: BTreeSet::new(),
            allowance: Allowance::empty(now),
            cold: Cold::over(now),
        }
    }

    /// Creates the entry of a server that has stated no limit.
    pub(super) const fn without_statement(start_key: u64, now: Moment) -> Self {
        Self {
            start_key,
            latest: Dated { rate: None, at: Moment::ZERO },
            own: None,
            current_use: None,
            not_using: BTreeSet::new(),
            allowance: Allowance::empty(now),
            cold: Cold::over(now),
        }
    }

    /// Returns the stated limit in force, if there is one.
    pub(super) const fn rate(&self) -> Option<Rate> {
        self.latest.rate
    }

    /// Returns this daemon's part of the limits, the lower one if both hold; `None` without a limit
    /// or a part of it.
    pub(super) fn share(&self, now: Moment) -> Option<Rate> {
        match (self.allowance.share(), self.cold.share(now)) {
            (Some(stated), Some(cold)) => Some(stated.at_most(cold.per_second())),
            (stated, cold) => stated.or(cold),
        }
    }

    /// Returns how much longer the server is cold.
    pub(super) const fn cold_left(&self, now: Moment) -> Duration {
        self.cold.left(now)
    }

    /// Returns whether the cold state has ended at its time since the last call.
    pub(super) fn take_cold_end(&mut self, now: Moment) -> bool {
        self.cold.take_end(now)
    }

    /// Returns whether the server has just become cold.
    pub(super) fn is_cold_beginning(&self, now: Moment) -> bool {
        self.cold.is_beginning(now)
    }

    /// Applies a statement of how much longer the server is cold, unless a newer one is known.
    pub(super) fn record_cold(&mut self, statement: ColdStatement, origin: Origin, now: Moment) {
        self.cold.record(statement, origin, now);
    }

    /// Takes over the cold state of an earlier entry of the server.
    pub(super) fn keep_cold(&mut self, old: Self) {
        self.cold = old.cold;
    }

    /// Determines this daemon's share of the rate of a cold server again.
    pub(super) fn update_cold_share(
        &mut self,
        own: &daemon::Id,
        server: &runner::Id,
        roster: &Roster,
        terms: Terms,
        now: Moment,
    ) {
        self.cold.update_share(own, server, roster, terms, now);
    }

    /// Records what the server states in a response to this daemon.
    pub(super) fn record_statement(&mut self, rate: Option<Rate>, now: Moment) {
        let dated = Dated { rate, at: now };
        self.own = Some(dated);
        self.replace(dated);
    }

    /// Returns whether a response to a request that was sent at `sent_at` shows that the server
    /// states no limit any more.
    pub(super) fn is_lifted_by(&self, sent_at: Moment) -> bool {
        self.latest.rate.is_some() && sent_at >= self.latest.at
    }

    /// Applies what a peer reports, unless something newer is known.
    pub(super) fn merge(&mut self, peer: &daemon::Id, report: &Report, now: Moment) {
        if let Some(Statement { rate, age }) = report.statement
            && now - age > self.latest.at
        {
            self.replace(Dated { rate, at: now - age });
        }
        match report.wanted {
            true => _ = self.not_using.remove(peer),
            false => _ = self.not_using.insert(peer.clone()),
        }
    }

    /// Forgets whether a peer uses the server: it does not know of the limit.
    pub(super) fn forget_peer(&mut self, peer: &daemon::Id) {
        self.not_using.remove(peer);
    }

    fn replace(&mut self, latest: Dated) {
        if self.latest.rate.is_none() {
            self.allowance.reset(latest.at);
        }
        self.latest = latest;
    }

    /// Records that this daemon has a request for the server; returns whether it had none for a
    /// while and the peers are to hear of it, because the server has stated a limit.
    pub(super) fn record_demand(&mut self, now: Moment) -> bool {
        let earlier = self.current_use(now);
        self.current_use = Some(Use { since: earlier.map_or(now, |e| e.since), last: now });
        earlier.is_none() && self.has_statement()
    }

    /// Returns whether the server has stated a limit, which may have ended.
    fn has_statement(&self) -> bool {
        self.latest.at > Moment::ZERO || self.latest.rate.is_some()
    }

    fn current_use(&self, now: Moment) -> Option<Use> {
        self.current_use.filter(|current| now.since(current.last) <= MAX_UNUSED_TIME)
    }

    /// Determines the share of this daemon again. `peers` are the daemons that may use the server.
    /// A daemon takes a share only after it has used the server for `join_delay`, in which the
    /// daemons hear of one another.
    pub(super) fn update_share<'a>(
        &mut self,
        own: &daemon::Id,
        peers: impl Iterator<Item = &'a daemon::Id>,
        join_delay: Duration,
        now: Moment,
    ) {
        let current = self.current_use(now);
        let has_joined = current.is_some_and(|current| now.since(current.since) >= join_delay);
        let share = match self.latest.rate {
            Some(rate) if has_joined => self.share_of(rate, own, peers),
            _ => None,
        };
        self.allowance.set_share(share, now);
    }

    fn share_of<'a>(
        &self,
        rate: Rate,
        own: &daemon::Id,
        peers: impl Iterator<Item = &'a daemon::Id>,
    ) -> Option<Rate> {
        let using: Vec<&str> =
            peers.filter(|p| !self.not_using.contains(*p)).map(daemon::Id::as_str).collect();
        let sharers = max_sharers(rate).min(using.len() + 1);
        let job = Job::new(self.start_key);
        let is_sharer = job.is_chosen(own.as_str(), sharers, using);
        is_sharer.then(|| rate.divided_by(sharers))
    }

    /// Returns whether a request may be sent to the server now.
    pub(super) fn is_open(&self, now: Moment) -> bool {
        let is_within_stated = self.latest.rate.is_none() || self.allowance.is_open(now);
        is_within_stated && self.cold.is_open(now)
    }

    /// Returns the time until a request may be sent to the server, or `None` if other daemons use
    /// up its stated limit.
    pub(super) fn time_left(&self, now: Moment) -> Option<Duration> {
        let stated = match self.latest.rate {
            Some(_) => self.allowance.time_left(now)?,
            None => Duration::ZERO,
        };
        Some(stated.max(self.cold.time_left(now)))
    }

    /// Counts a request that is sent to the server.
    pub(super) fn take(&mut self, now: Moment) {
        self.allowance.take(now);
        self.cold.take(now);
    }

    /// Returns whether the limits have ended long enough ago that all peers know of it.
    pub(super) fn is_over(&self, retention: Duration, now: Moment) -> bool {
        let is_stated_over = self.latest.rate.is_none() && now.since(self.latest.at) > retention;
        is_stated_over && self.cold.is_over(retention, now)
    }

    /// Returns whether nothing was heard of the limits for a time.
    pub(super) fn is_older_than(&self, age: Duration, now: Moment) -> bool {
        now.since(self.latest.at) > age && self.cold.is_older_than(age, now)
    }

    /// Discards what the previous incarnation of the server stated: all that was not stated so
    /// recently that it may be of the new one.
    pub(super) fn restart(&mut self, start_key: u64, age: Duration, now: Moment) {
        self.start_key = start_key;
        if now.since(self.latest.at) > age {
            *self = Self {
                cold: std::mem::replace(&mut self.cold, Cold::over(now)),
                ..Self::without_statement(start_key, now)
            };
        }
        if self.cold.is_older_than(age, now) {
            self.cold.end(now);
        }
    }

    /// Returns what the peers are told, if anything. An own statement that is not the latest would
    /// bring back a limit at peers that have forgotten its end.
    pub(super) fn report(&self, now: Moment) -> Option<Report> {
        let latest_own = self.own.filter(|own| own.at >= self.latest.at);
        let statement = latest_own.map(|own| Statement { rate: own.rate, age: now.since(own.at) });
        let cold = self.cold.report(now);
        let is_known = self.has_statement() || cold.is_some();
        let wanted = self.current_use(now).is_some();
        is_known.then_some(Report { server: self.start_key, wanted, statement, cold })
    }
}
