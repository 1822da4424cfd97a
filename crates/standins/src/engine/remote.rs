//! Reads KV that other engines keep.

use std::sync::Arc;
use std::sync::Mutex;

use kumquattiller_base::size::Tokens;
use kumquattiller_dialect::engine::Handle;
use kumquattiller_dialect::engine::Holdings;

use crate::engine::machine::Machine;
use crate::engine::refusal::Refusal;

/// Waits for the KV of other engines in `context`.
///
/// # Errors
///
/// Fails when an engine cannot be reached or does not keep the handle.
pub(super) async fn read(machine: &Arc<Mutex<Machine>>, context: &[Handle]) -> Result<(), Refusal> {
    let remote: Vec<Handle> = {
        let machine = machine.lock().expect("no thread panicked");
        context.iter().filter(|handle| !machine.is_own(handle)).cloned().collect()
    };
    let tokens: u64 = remote.iter().map(|handle| handle.tokens).sum();
    for handle in remote {
        check(&handle).await.ok_or(Refusal::UnknownHandle)?;
    }
    let timing = machine.lock().expect("no thread panicked").settings.timing;
    tokio::time::sleep(timing.transfer(Tokens::new(tokens))).await;
    Ok(())
}

/// Returns the handle as its engine keeps it, or `None`.
async fn check(handle: &Handle) -> Option<Handle> {
    let url = format!("{}/v1/holdings", handle.engine);
    let body = reqwest::get(url).await.ok()?.bytes().await.ok()?;
    let holdings: Holdings = serde_json::from_slice(&body).ok()?;
    holdings.handles.into_iter().find(|kept| kept.handle == handle.handle)
}
