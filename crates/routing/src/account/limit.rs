//! Token-rate limit of one account at one daemon.

use std::collections::HashMap;
use std::time::Duration;

use kumquattiller_base::daemon;
use kumquattiller_base::rate::TokensPerSecond;
use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;

use crate::account::Demand;

/// Fraction of the limit that is divided equally between the daemons, in addition to the division
/// by demand.
pub const EQUAL_FRACTION: f64 = 0.25;

/// Largest sum of the shares of all daemons, relative to the limit.
pub const MAX_FACTOR: f64 = 1.0 + EQUAL_FRACTION;

/// Capacity of the token bucket, as the time for which an unused share accumulates.
const BURST: Duration = Duration::from_secs(2);

/// Weight of the latest interval in the moving average of the demand.
const DEMAND_WEIGHT: f64 = 0.5;

/// Shortest retry delay of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Longest retry delay of a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// A request was refused because the account exceeds its share; no tokens were taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Time until the share has room for the request.
    pub retry_after: Duration,
}

/// Token bucket with which one daemon enforces its share of an account's limit.
///
/// A request takes its tokens when it is admitted. A request larger than the bucket is admitted
/// once the bucket is full, and makes the balance negative. Later requests wait until the bucket is
/// refilled, so that the average rate holds whatever the request sizes.
#[derive(Debug, Clone)]
pub struct Limit {
    limit: TokensPerSecond,
    daemons: usize,
    own_demand: Demand,
    peers: HashMap<daemon::Id, Demand>,
    requested: Tokens,
    measured_demand: f64,
    published_at: Moment,
    balance: f64,
    refilled_at: Moment,
}

impl Limit {
    /// Creates the limit of an account whose enforcement is divided between `daemons` daemons.
    pub fn new(limit: TokensPerSecond, daemons: usize, now: Moment) -> Self {
        let mut this = Self {
            limit,
            daemons: daemons.max(1),
            own_demand: Demand::default(),
            peers: HashMap::new(),
            requested: Tokens::ZERO,
            measured_demand: 0.0,
            published_at: now,
            balance: 0.0,
            refilled_at: now,
        };
        this.balance = this.burst(now);
        this
    }

    /// Updates the limit and the number of daemons.
    pub fn update(&mut self, limit: TokensPerSecond, daemons: usize) {
        self.limit = limit;
        self.daemons = daemons.max(1);
    }

    /// Takes a request's tokens.
    ///
    /// # Errors
    ///
    /// Fails when the share has no room. The refusal carries the time until it has.
    pub fn admit(&mut self, tokens: Tokens, now: Moment) -> Result<(), Refusal> {
        self.requested = self.requested.saturating_add(tokens);
        self.refill(now);
        let needed = (tokens.get() as f64).min(self.burst(now));
        if self.balance >= needed {
            self.balance -= tokens.get() as f64;
            return Ok(());
        }
        let wait = (needed - self.balance) / self.share(now).max(f64::MIN_POSITIVE);
        let wait = Duration::try_from_secs_f64(wait).unwrap_or(MAX_RETRY_AFTER);
        Err(Refusal { retry_after: wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER) })
    }

    /// Returns the demand to publish to the other daemons. Call this about once a second.
    pub fn publish(&mut self, now: Moment) -> TokensPerSecond {
        let elapsed = now.since(self.published_at).as_secs_f64();
        if elapsed > 0.0 {
            let rate = self.requested.get() as f64 / elapsed;
            self.measured_demand += (rate - self.measured_demand) * DEMAND_WEIGHT;
            self.requested = Tokens::ZERO;
            self.published_at = now;
        }
        let demand = TokensPerSecond::new(self.measured_demand as u64);
        self.own_demand.push(demand, now);
        demand
    }

    /// Records the demand that another daemon published.
    pub fn record_demand(&mut self, peer: &daemon::Id, demand: TokensPerSecond, now: Moment) {
        self.peers.entry(peer.clone()).or_default().push(demand, now);
    }

    /// Returns this daemon's share, in tokens a second.
    pub fn share(&self, now: Moment) -> f64 {
        let daemons = self.daemons as f64;
        let heard_peers = || self.peers.values().filter(|peer| peer.is_fresh(now));
        let others: f64 = heard_peers().map(|peer| peer.highest_recent(now).get() as f64).sum();
        let own = self.own_demand.lowest_propagated(now).get() as f64;
        let total_demand = others + self.own_demand.highest_recent(now).get() as f64;
        let demand_fraction = if total_demand > 0.0 { own / total_demand } else { 0.0 };
        let heard_fraction = (heard_peers().count() + 1) as f64 / daemons;
        self.limit.get() as f64
            * (demand_fraction * heard_fraction.min(1.0) + EQUAL_FRACTION / daemons)
    }

    /// Returns the capacity of the bucket, in tokens.
    fn burst(&self, now: Moment) -> f64 {
        self.share(now) * BURST.as_secs_f64()
    }

    fn refill(&mut self, now: Moment) {
        let accrued = self.share(now) * now.since(self.refilled_at).as_secs_f64();
        self.balance = (self.balance + accrued).min(self.burst(now));
        self.refilled_at = self.refilled_at.max(now);
    }
}
