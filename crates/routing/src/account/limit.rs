//! The limit of one account at one daemon.

use std::collections::HashMap;
use std::time::Duration;

use kumquattiller_base::daemon;
use kumquattiller_base::rate::TokensPerSecond;
use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;

use crate::account::Demand;

/// Part of the limit that is divided equally whatever the demand.
pub const FLOOR_SHARE: f64 = 0.25;

/// Largest sum of all shares, relative to the limit.
pub const MAX_FACTOR: f64 = 1.0 + FLOOR_SHARE;

/// Time for which an unused share is saved up.
const BURST: Duration = Duration::from_secs(2);

/// Weight of one publication in the measured demand.
const DEMAND_WEIGHT: f64 = 0.5;

/// Shortest time that a refusal names for trying again.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Longest time that a refusal names for trying again.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// The account is over its share; nothing was taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// When the share has room for the request.
    pub retry_after: Duration,
}

/// An account's limit as one daemon enforces it.
///
/// Requests take their tokens at admission. A request larger than what is saved up is admitted
/// when the balance is full, and leaves a debt that later ones wait for, so that the rate holds
/// over time whatever the sizes.
#[derive(Debug, Clone)]
pub struct Limit {
    limit: TokensPerSecond,
    daemons: usize,
    own: Demand,
    peers: HashMap<daemon::Id, Demand>,
    asked: Tokens,
    measured: f64,
    published: Moment,
    balance: f64,
    filled: Moment,
}

impl Limit {
    /// Makes the limit of an account that `daemons` enforce together.
    pub fn new(limit: TokensPerSecond, daemons: usize, now: Moment) -> Self {
        let mut new = Self {
            limit,
            daemons: daemons.max(1),
            own: Demand::default(),
            peers: HashMap::new(),
            asked: Tokens::ZERO,
            measured: 0.0,
            published: now,
            balance: 0.0,
            filled: now,
        };
        new.balance = new.burst(now);
        new
    }

    /// Takes over a changed limit or number of daemons.
    pub fn set(&mut self, limit: TokensPerSecond, daemons: usize) {
        self.limit = limit;
        self.daemons = daemons.max(1);
    }

    /// Takes a request's tokens.
    ///
    /// # Errors
    ///
    /// Fails when the share has no room, and names when it will have.
    pub fn admit(&mut self, tokens: Tokens, now: Moment) -> Result<(), Refusal> {
        self.asked = self.asked.saturating_add(tokens);
        self.fill(now);
        let needed = (tokens.get() as f64).min(self.burst(now));
        if self.balance >= needed {
            self.balance -= tokens.get() as f64;
            return Ok(());
        }
        let wait = (needed - self.balance) / self.share(now).max(f64::MIN_POSITIVE);
        let wait = Duration::try_from_secs_f64(wait).unwrap_or(MAX_RETRY_AFTER);
        Err(Refusal { retry_after: wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER) })
    }

    /// Returns the demand to tell the other daemons, about once a second.
    pub fn publish(&mut self, now: Moment) -> TokensPerSecond {
        let span = now.since(self.published).as_secs_f64();
        if span > 0.0 {
            let rate = self.asked.get() as f64 / span;
            self.measured += (rate - self.measured) * DEMAND_WEIGHT;
            self.asked = Tokens::ZERO;
            self.published = now;
        }
        let demand = TokensPerSecond::new(self.measured as u64);
        self.own.push(demand, now);
        demand
    }

    /// Takes in the demand of another daemon.
    pub fn learn(&mut self, peer: &daemon::Id, demand: TokensPerSecond, now: Moment) {
        self.peers.entry(peer.clone()).or_default().push(demand, now);
    }

    /// Returns this daemon's share in tokens a second.
    pub fn share(&self, now: Moment) -> f64 {
        let daemons = self.daemons as f64;
        let heard = || self.peers.values().filter(|peer| peer.is_heard(now));
        let others: f64 = heard().map(|peer| peer.highest(now).get() as f64).sum();
        let own = self.own.lowest_known(now).get() as f64;
        let all = others + self.own.highest(now).get() as f64;
        let by_demand = if all > 0.0 { own / all } else { 0.0 };
        let reach = (heard().count() + 1) as f64 / daemons;
        self.limit.get() as f64 * (by_demand * reach.min(1.0) + FLOOR_SHARE / daemons)
    }

    fn burst(&self, now: Moment) -> f64 {
        self.share(now) * BURST.as_secs_f64()
    }

    fn fill(&mut self, now: Moment) {
        let gained = self.share(now) * now.since(self.filled).as_secs_f64();
        self.balance = (self.balance + gained).min(self.burst(now));
        self.filled = self.filled.max(now);
    }
}
