//! Reads KV that other engines hold.

use std::sync::Arc;
use std::sync::Mutex;

use kumquattiller_base::size::Tokens;
use kumquattiller_dialect::engine::Handle;
use kumquattiller_dialect::engine::Holdings;

use crate::engine::refusal::Refusal;
use crate::engine::simulator::Simulator;

/// Checks that other engines hold the remote KV in `context` and waits for its transfer time.
///
/// # Errors
///
/// Returns [`Refusal::UnknownHandle`] when an engine cannot be reached or does not hold the handle.
pub(super) async fn read_context(
    simulator: &Arc<Mutex<Simulator>>,
    context: &[Handle],
) -> Result<(), Refusal> {
    let remote: Vec<Handle> = {
        let simulator = simulator.lock().expect("no thread panicked");
        context.iter().filter(|handle| !simulator.is_local(handle)).cloned().collect()
    };
    let tokens: u64 = remote.iter().map(|handle| handle.tokens).sum();
    for handle in remote {
        find_handle(&handle).await.ok_or(Refusal::UnknownHandle)?;
    }
    let timing = simulator.lock().expect("no thread panicked").settings.timing;
    tokio::time::sleep(timing.transfer_time(Tokens::new(tokens))).await;
    Ok(())
}

/// Asks the engine that a handle names for its holdings; returns its record of the handle, or
/// `None` when it has none or cannot be reached.
async fn find_handle(handle: &Handle) -> Option<Handle> {
    let url = format!("{}/v1/holdings", handle.engine);
    let body = reqwest::get(url).await.ok()?.bytes().await.ok()?;
    let holdings: Holdings = serde_json::from_slice(&body).ok()?;
    holdings.handles.into_iter().find(|held| held.handle == handle.handle)
}
