//! Token-rate limits of client accounts, shared with the other entry daemons over the links.

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

/// Time between exchanges of demands.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// The limits of the accounts that have one.
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
    /// Takes a request's tokens from the account's share of this daemon.
    ///
    /// # Errors
    ///
    /// Fails when the share has no room, and names when it will have.
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
        let new = || Limit::new(rate, daemons, now);
        let limit = state.accounts.entry(account.clone()).or_insert_with(new);
        limit.update(rate, daemons);
        limit.admit(tokens, now)
    }

    /// Takes over the number of entry daemons.
    pub fn set_daemons(&self, daemons: usize) {
        self.lock().daemons = daemons;
    }

    /// Takes in the demands of another daemon; accounts that it leaves out have none.
    pub fn learn(&self, demands: &link::Demands, now: Moment) {
        let Ok(peer) = demands.daemon.parse::<daemon::Id>() else {
            return;
        };
        let told: HashMap<&str, u64> =
            demands.demands.iter().map(|d| (d.account.as_str(), d.tokens_per_second)).collect();
        for (account, limit) in &mut self.lock().accounts {
            let demand = told.get(account.as_str()).copied().unwrap_or_default();
            limit.record_demand(&peer, TokensPerSecond::new(demand), now);
        }
    }

    /// Returns the demands above 0 to tell the others, and makes the limits of accounts that are
    /// new.
    fn publish(&self, snapshot: &Snapshot, now: Moment) -> Vec<link::Demand> {
        let mut state = self.lock();
        let daemons = state.daemons;
        for (account, rate) in snapshot.limits() {
            let new = || Limit::new(rate, daemons, now);
            state.accounts.entry(account.clone()).or_insert_with(new).update(rate, daemons);
        }
        let demand = |(account, limit): (&account::Id, &mut Limit)| link::Demand {
            account: account.to_string(),
            tokens_per_second: limit.publish(now).get(),
        };
        let demands = state.accounts.iter_mut().map(demand);
        demands.filter(|demand| demand.tokens_per_second > 0).collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Tells the other daemons this one's demands until it stops.
pub async fn run(daemon: Daemon) {
    let mut ticks = interval(EXCHANGE_INTERVAL);
    while !daemon.stopped().is_cancelled() {
        ticks.tick().await;
        let demands = daemon.limits().publish(&daemon.snapshot(), daemon.now());
        if daemon.snapshot().limits().next().is_some() {
            let daemon_id = daemon.settings().id.to_string();
            let frame = Body::Demands(link::Demands { daemon: daemon_id, demands });
            daemon.peers().send_to_all(&frame).await;
        }
    }
}
