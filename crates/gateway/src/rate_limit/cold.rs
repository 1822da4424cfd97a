use std::time::Duration;

use kumquattiller_base::daemon;
use kumquattiller_base::runner;
use kumquattiller_base::time::Moment;

use crate::peer::Roster;
use crate::rate_limit::Allowance;
use crate::rate_limit::ColdStatement;
use crate::rate_limit::Division;
use crate::rate_limit::Origin;
use crate::rate_limit::Rate;
use crate::rate_limit::Terms;

/// Longest time for which a server may be cold.
pub const MAX_COLD_TIME: Duration = Duration::from_secs(600);

/// Longest time from the placement of a request until it is sent: the timeout for connecting to its
/// server. Requests that were placed over such a time may be sent at once.
pub(super) const MAX_SEND_DELAY: Duration = Duration::from_millis(250);

/// Difference up to which two statements of the end of a cold state are the same: about the time
/// that responses and reports take.
const CONFIRMED_DIFFERENCE: Duration = Duration::from_millis(500);

/// Longest interval at which shares are determined again.
const MAX_UPDATE_INTERVAL: Duration = Duration::from_millis(300);

/// What a share was determined from.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Basis {
    rate: Option<Rate>,
    generation: u64,
    is_settled: bool,
}

/// What is known of the cold state of a server.
#[derive(Debug)]
pub(super) struct Cold {
    /// Time of the latest statement.
    at: Moment,
    /// Since when the server is cold.
    since: Moment,
    /// When the server is warm, according to the latest statement.
    ends: Moment,
    /// Whether the server made it in a response to this daemon.
    is_own: bool,
    /// Whether the end of the cold state is still to be told to the log.
    is_end_due: bool,
    basis: Option<Basis>,
    /// When this daemon has its share at the latest, as far as known.
    settled_by: Moment,
    /// The share of a daemon that has one, whether or not this one does.
    usual_share: Option<Rate>,
    allowance: Allowance,
}

impl Cold {
    /// Creates the state of a server that is not cold.
    pub(super) const fn over(now: Moment) -> Self {
        Self {
            at: Moment::ZERO,
            since: Moment::ZERO,
            ends: Moment::ZERO,
            is_own: false,
            is_end_due: false,
            basis: None,
            settled_by: Moment::ZERO,
            usual_share: None,
            allowance: Allowance::empty(now),
        }
    }

    /// Returns whether the server is cold.
    pub(super) fn is_active(&self, now: Moment) -> bool {
        self.ends > now
    }

    /// Returns whether the cold state has ended at its time since the last call.
    pub(super) fn take_end(&mut self, now: Moment) -> bool {
        let has_ended = self.is_end_due && !self.is_active(now);
        self.is_end_due &= !has_ended;
        has_ended
    }

    /// Returns how much longer the server is cold.
    pub(super) const fn left(&self, now: Moment) -> Duration {
        self.ends.since(now)
    }

    /// Applies a statement, unless a newer one is known. A server that was warm begins with empty
    /// shares. A response that only confirms what is known is not reported to the peers.
    pub(super) fn record(&mut self, statement: ColdStatement, origin: Origin, now: Moment) {
        let at = now - statement.age;
        if at < self.at || (at == self.at && origin == Origin::Peer) {
            return;
        }
        let was_active = self.is_active(now);
        if !was_active && statement.left.is_zero() {
            return;
        }
        if !was_active {
            self.allowance = Allowance::empty(now);
            self.basis = None;
            self.since = now;
        }
        let ends = now + statement.left.min(MAX_COLD_TIME);
        let difference = ends.since(self.ends).max(self.ends.since(ends));
        let is_confirmed = was_active && difference <= CONFIRMED_DIFFERENCE;
        self.at = at;
        self.ends = ends;
        self.is_end_due = self.is_active(now);
        self.is_own = origin == Origin::Response && (self.is_own || !is_confirmed);
    }

    /// Ends the cold state of an incarnation that is gone.
    pub(super) const fn end(&mut self, now: Moment) {
        self.at = now;
        self.ends = Moment::ZERO;
        self.is_own = false;
        self.is_end_due = false;
    }

    /// Determines the share of this daemon again, if anything that it depends on has changed.
    pub(super) fn update_share(
        &mut self,
        own: &daemon::Id,
        server: &runner::Id,
        roster: &Roster,
        terms: Terms,
        now: Moment,
    ) {
        let Terms { rate, bound, join_delay } = terms;
        let is_settled = roster.is_settled(join_delay, now);
        let basis = Basis { rate, generation: roster.generation(), is_settled };
        self.settled_by = match is_settled {
            true => now,
            false => roster.settles_at(join_delay, now) + MAX_UPDATE_INTERVAL,
        };
        if self.basis == Some(basis) {
            return;
        }
        self.basis = Some(basis);
        let division = rate.map(|rate| Division::of(rate, bound, roster.daemons()));
        self.usual_share = division.and_then(|division| division.share);
        let is_sharer = |d: &Division| is_settled && roster.is_sharer(own, server, d.sharers);
        let share = division.filter(is_sharer).and_then(|division| division.share);
        self.allowance.set_share(share, now);
    }

    /// Returns whether the limit binds: the server is cold, and its rate is known or not yet looked
    /// up.
    fn binds(&self, now: Moment) -> bool {
        self.is_active(now) && self.basis.is_none_or(|basis| basis.rate.is_some())
    }

    /// Returns whether the server has become cold so recently that what is about to be sent may have
    /// been placed before.
    pub(super) fn is_beginning(&self, now: Moment) -> bool {
        self.binds(now) && now.since(self.since) < MAX_SEND_DELAY
    }

    /// Returns this daemon's share while the limit binds.
    pub(super) fn share(&self, now: Moment) -> Option<Rate> {
        self.allowance.share().filter(|_| self.binds(now))
    }

    /// Returns whether a request may be sent now.
    pub(super) fn is_open(&self, now: Moment) -> bool {
        !self.binds(now) || (self.allowance.is_open(now) && !self.is_beginning(now))
    }

    /// Returns the time until a request may be sent. A daemon without a share states when another
    /// one may have room, since callers mostly come back there.
    pub(super) fn time_left(&self, now: Moment) -> Duration {
        if !self.binds(now) {
            return Duration::ZERO;
        }
        let until_settled = self.settled_by.since(now);
        let elsewhere = || self.usual_share.map(|share| until_settled + share.time_for(1.0));
        let in_share = self.allowance.time_left(now).or_else(elsewhere);
        let beginning = MAX_SEND_DELAY.saturating_sub(now.since(self.since));
        in_share.unwrap_or(Duration::MAX).max(beginning).min(self.left(now))
    }

    /// Counts a request that is sent to the server.
    pub(super) fn take(&mut self, now: Moment) {
        if self.is_active(now) {
            self.allowance.take(now);
        }
    }

    /// Returns whether the cold state has ended long enough ago that all peers know of it.
    pub(super) fn is_over(&self, retention: Duration, now: Moment) -> bool {
        !self.is_active(now) && now.since(self.at.max(self.ends)) > retention
    }

    /// Returns whether the latest statement is older than this.
    pub(super) fn is_older_than(&self, age: Duration, now: Moment) -> bool {
        now.since(self.at) > age
    }

    /// Returns what the peers are told: what the server stated to this daemon, if it is the latest.
    pub(super) fn report(&self, now: Moment) -> Option<ColdStatement> {
        let statement = ColdStatement { left: self.left(now), age: now.since(self.at) };
        self.is_own.then_some(statement)
    }
}
