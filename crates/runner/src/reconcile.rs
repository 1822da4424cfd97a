//! Frees engine memory that has no owner, by comparing the memory table with the engine's holdings.

use std::collections::BTreeMap;
use std::time::Duration;

use futures::future::join_all;
use kumquattiller_base::service;
use kumquattiller_base::size::Tokens;
use kumquattiller_dialect::engine::Holdings;
use kumquattiller_memory::Action;
use kumquattiller_memory::Item;
use kumquattiller_memory::Observation;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::timeout;

use crate::Process;
use crate::work;

/// Time between checks of the memory table.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(250);
/// Checks of the memory table for each query of the engine's holdings.
const TICKS_PER_OBSERVATION: u64 = 4;
/// Timeout of a call to the engine.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Reconciles until the process stops; returns at once if the backend server is a plain service.
pub async fn run(process: Process) {
    if process.settings().backend.kind != service::Kind::Model {
        return;
    }
    let mut ticks = interval(RECONCILE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    for count in 0u64.. {
        tokio::select! {
            _ = ticks.tick() => {}
            () = process.stopped().cancelled() => return,
        }
        renew_non_idempotent_jobs(&process);
        if count.is_multiple_of(TICKS_PER_OBSERVATION) {
            observe_holdings(&process).await;
        }
        let actions = process.memory().table().tick(process.now());
        join_all(actions.into_iter().map(|action| free_item(&process, action))).await;
    }
}

/// Renews the owners of non-idempotent jobs, which run on when their entry daemon is gone.
fn renew_non_idempotent_jobs(process: &Process) {
    let jobs = process.jobs().active();
    let now = process.now();
    let mut table = process.memory().table();
    for job in jobs.iter().filter(|job| !job.start().idempotent) {
        table.renew_owner(&work::memory_item(job.attempt()), now);
    }
}

/// Queries the engine's holdings and compares the memory table with them.
async fn observe_holdings(process: &Process) {
    let asked = process.now();
    match timeout(CALL_TIMEOUT, process.engine().holdings()).await {
        Ok(Ok(holdings)) => {
            let observation = Observation { asked, items: items_of(&holdings) };
            process.memory().table().observe(&observation, process.now());
        }
        Ok(Err(error)) => log::debug!("cannot query the engine's holdings: {error}"),
        Err(_) => log::debug!("cannot query the engine's holdings: timed out"),
    }
}

/// Returns the streams and handles in `holdings` with their sizes.
fn items_of(holdings: &Holdings) -> BTreeMap<Item, Tokens> {
    let streams = holdings.streams.iter();
    let streams = streams.map(|s| (Item::Stream(s.request.as_str().into()), s.tokens));
    let handles = holdings.handles.iter();
    let handles = handles.map(|h| (Item::Handle(h.handle.as_str().into()), h.tokens));
    streams.chain(handles).map(|(item, tokens)| (item, Tokens::new(tokens))).collect()
}

/// Frees an item on the engine and removes it from the memory table once the engine confirms.
async fn free_item(process: &Process, action: Action) {
    let engine = process.engine();
    let (item, answer) = match action {
        Action::CancelStream(name) => {
            let answer = timeout(CALL_TIMEOUT, engine.cancel(name.as_str())).await;
            (Item::Stream(name), answer)
        }
        Action::DeleteHandle(name) => {
            let answer = timeout(CALL_TIMEOUT, engine.release(name.as_str())).await;
            (Item::Handle(name), answer)
        }
    };
    match answer {
        Ok(Ok(())) => {
            log::info!(item:? = item; "freed engine memory that had no owner");
            process.memory().table().confirm_released(&item);
        }
        Ok(Err(error)) => log::warn!(item:? = item; "cannot free engine memory: {error}"),
        Err(_) => log::warn!(item:? = item; "cannot free engine memory: timed out"),
    }
}
