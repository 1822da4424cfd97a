//! Keeps what the engine holds equal to what has an owner.

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

/// Time between looks at the table.
const TICK: Duration = Duration::from_millis(250);
/// Looks at the table for each look at the engine's holdings.
const TICKS_PER_OBSERVATION: u64 = 4;
/// Longest wait for an answer of the engine.
const CALL_LIMIT: Duration = Duration::from_millis(500);

/// Reconciles until the process stops; returns at once beside a plain service.
pub async fn run(process: Process) {
    if process.settings().backend.kind != service::Kind::Model {
        return;
    }
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    for count in 0u64.. {
        tokio::select! {
            _ = ticks.tick() => {}
            () = process.stopped().cancelled() => return,
        }
        renew_kept(&process);
        if count.is_multiple_of(TICKS_PER_OBSERVATION) {
            observe(&process).await;
        }
        let actions = process.memory().table().tick(process.now());
        join_all(actions.into_iter().map(|action| carry_out(&process, action))).await;
    }
}

/// Renews the owners of jobs that run on without them.
fn renew_kept(process: &Process) {
    let jobs = process.jobs().active();
    let now = process.now();
    let mut table = process.memory().table();
    for job in jobs.iter().filter(|job| !job.start().idempotent) {
        table.renew_owner(&work::item_of(job.attempt()), now);
    }
}

/// Compares the table with the engine's holdings.
async fn observe(process: &Process) {
    let asked = process.now();
    match timeout(CALL_LIMIT, process.engine().holdings()).await {
        Ok(Ok(holdings)) => {
            let observation = Observation { asked, items: items(&holdings) };
            process.memory().table().observe(&observation, process.now());
        }
        Ok(Err(error)) => log::debug!("the engine's holdings are unknown: {error}"),
        Err(_) => log::debug!("the engine's holdings are unknown: no answer in time"),
    }
}

/// Returns what holdings name, with the sizes.
fn items(holdings: &Holdings) -> BTreeMap<Item, Tokens> {
    let streams = holdings.streams.iter();
    let streams = streams.map(|s| (Item::Stream(s.request.as_str().into()), s.tokens));
    let handles = holdings.handles.iter();
    let handles = handles.map(|h| (Item::Handle(h.handle.as_str().into()), h.tokens));
    streams.chain(handles).map(|(item, tokens)| (item, Tokens::new(tokens))).collect()
}

/// Frees an item on the engine.
async fn carry_out(process: &Process, action: Action) {
    let engine = process.engine();
    let (item, answer) = match action {
        Action::CancelStream(name) => {
            let answer = timeout(CALL_LIMIT, engine.cancel(name.as_str())).await;
            (Item::Stream(name), answer)
        }
        Action::DeleteHandle(name) => {
            let answer = timeout(CALL_LIMIT, engine.release(name.as_str())).await;
            (Item::Handle(name), answer)
        }
    };
    match answer {
        Ok(Ok(())) => {
            log::info!(item:? = item; "memory without an owner was freed");
            process.memory().table().confirm_released(&item);
        }
        Ok(Err(error)) => log::warn!(item:? = item; "memory was not freed: {error}"),
        Err(_) => log::warn!(item:? = item; "memory was not freed: no answer in time"),
    }
}
