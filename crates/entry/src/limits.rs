//! Token-rate limits of client accounts.
//!
//! Each entry daemon enforces its share of an account's limit. The daemons exchange their demands
//! over the links, and the shares follow from them.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use kumquattiller_base::account;
use kumquattiller_base::daemon;
use kumquattiller_base::rate::TokensPerSecond;
use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;
use kumquattiller_routing::account::Limit;
use kumquattiller_routing::account::Refusal;
use kumquattiller_wire::Body;
use kumquattiller_wire::link;
use tokio::time::interval;

use crate::Daemon;
use crate::snapshot::Snapshot;

/// Interval between broadcasts of demands to the other daemons.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// The limits of the client accounts that have one.
#[derive(Debug, Default)]
pub struct Limits {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    daemons: usize,
    accounts: HashMap<account::Id, Limit>,
}

impl Limits {
    /// Deducts a request's tokens from this daemon's share of the account's limit.
    ///
    /// # Errors
    ///
    /// Fails when the share is exhausted; the error says when to try again.
    pub fn admit(
        &self,
        snapshot: &Snapshot,
        account: &account::Id,
        tokens: Tokens,
        now: Moment,
    ) -> Result<(), Refusal> {
        let Some(rate) = snapshot.limit_of(account) else {
            return Ok(());
        };
        let mut state = self.lock();
        let daemons = state.daemons;
        let new_limit = || Limit::new(rate, daemons, now);
        let limit = state.accounts.entry(account.clone()).or_insert_with(new_limit);
        limit.update(rate, daemons);
        limit.admit(tokens, now)
    }

    /// Sets the number of entry daemons that share the limits.
    pub fn set_daemon_count(&self, daemons: usize) {
        self.lock().daemons = daemons;
    }

    /// Records the demands of another daemon; an account missing from them has a demand of 0.
    pub fn record_demands(&self, demands: &link::Demands, now: Moment) {
        let Ok(peer) = demands.daemon.parse::<daemon::Id>() else {
            return;
        };
        let reported: HashMap<&str, u64> =
            demands.demands.iter().map(|d| (d.account.as_str(), d.tokens_per_second)).collect();
        for (account, limit) in &mut self.lock().accounts {
            let demand = reported.get(account.as_str()).copied().unwrap_or_default();
            limit.record_demand(&peer, TokensPerSecond::new(demand), now);
        }
    }

    /// Returns this daemon's demands above 0, after it added limits for new accounts and applied
    /// changed rates.
    fn publish_demands(&self, snapshot: &Snapshot, now: Moment) -> Vec<link::Demand> {
        let mut state = self.lock();
        let daemons = state.daemons;
        for (account, rate) in snapshot.limits() {
            let new_limit = || Limit::new(rate, daemons, now);
            state.accounts.entry(account.clone()).or_insert_with(new_limit).update(rate, daemons);
        }
        let to_demand = |(account, limit): (&account::Id, &mut Limit)| link::Demand {
            account: account.to_string(),
            tokens_per_second: limit.publish(now).get(),
        };
        let demands = state.accounts.iter_mut().map(to_demand);
        demands.filter(|demand| demand.tokens_per_second > 0).collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Broadcasts this daemon's demands to the other daemons until it stops.
pub async fn run(daemon: Daemon) {
    let mut ticks = interval(EXCHANGE_INTERVAL);
    while !daemon.stopped().is_cancelled() {
        ticks.tick().await;
        let demands = daemon.limits().publish_demands(&daemon.snapshot(), daemon.now());
        if daemon.snapshot().limits().next().is_some() {
            let daemon_id = daemon.settings().id.to_string();
            let frame = Body::Demands(link::Demands { daemon: daemon_id, demands });
            daemon.peers().send_to_all(&frame).await;
        }
    }
}
