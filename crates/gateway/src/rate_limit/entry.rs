use std::collections::BTreeSet;
use std::time::Duration;

use kumquattiller_base::daemon;
use kumquattiller_base::rendezvous::Job;
use kumquattiller_base::time::Moment;

use crate::rate_limit::Bucket;
use crate::rate_limit::Rate;
use crate::rate_limit::Report;
use crate::rate_limit::Statement;

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

/// What is known of the limit of one server.
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
    /// This daemon's part of the rate; `None` while it may send nothing.
    share: Option<Rate>,
    bucket: Bucket,
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
            share: None,
            bucket: Bucket::empty(now),
        }
    }

    /// Returns the limit in force, if there is one.
    pub(super) const fn rate(&self) -> Option<Rate> {
        self.latest.rate
    }

    /// Returns this daemon's part of the limit; `None` without a limit or a part of it.
    pub(super) const fn share(&self) -> Option<Rate> {
        self.share
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
            self.bucket = Bucket::empty(latest.at);
        }
        self.latest = latest;
    }

    /// Records that this daemon has a request for the server; returns whether it had none for a
    /// while.
    pub(super) fn record_demand(&mut self, now: Moment) -> bool {
        let earlier = self.current_use(now);
        self.current_use = Some(Use { since: earlier.map_or(now, |e| e.since), last: now });
        earlier.is_none()
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
        self.bucket.fill(self.share, now);
        let current = self.current_use(now);
        let has_joined = current.is_some_and(|current| now.since(current.since) >= join_delay);
        self.share = match self.latest.rate {
            Some(rate) if has_joined => self.share_of(rate, own, peers),
            _ => None,
        };
        if self.share.is_none() {
            self.bucket.discard();
        }
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
        self.latest.rate.is_none() || self.filled(now).has_token()
    }

    /// Returns the time until a request may be sent to the server, or `None` if other daemons use
    /// up its limit.
    pub(super) fn time_left(&self, now: Moment) -> Option<Duration> {
        match self.latest.rate {
            Some(_) => self.share.map(|share| self.filled(now).time_left(share)),
            None => Some(Duration::ZERO),
        }
    }

    fn filled(&self, now: Moment) -> Bucket {
        let mut bucket = self.bucket;
        bucket.fill(self.share, now);
        bucket
    }

    /// Counts a request that is sent to the server.
    pub(super) fn take(&mut self, now: Moment) {
        self.bucket.fill(self.share, now);
        self.bucket.take();
    }

    /// Returns whether the limit has ended long enough ago that all peers know of it.
    pub(super) fn is_over(&self, retention: Duration, now: Moment) -> bool {
        self.latest.rate.is_none() && now.since(self.latest.at) > retention
    }

    /// Returns whether nothing was heard of the limit for a time.
    pub(super) fn is_older_than(&self, age: Duration, now: Moment) -> bool {
        now.since(self.latest.at) > age
    }

    /// Returns what the peers are told. An own statement that is not the latest would bring back a
    /// limit at peers that have forgotten its end.
    pub(super) fn report(&self, now: Moment) -> Report {
        let latest_own = self.own.filter(|own| own.at >= self.latest.at);
        let statement = latest_own.map(|own| Statement { rate: own.rate, age: now.since(own.at) });
        Report { server: self.start_key, wanted: self.current_use(now).is_some(), statement }
    }
}
