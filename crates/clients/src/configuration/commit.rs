use kumquattiller_inventory::section::Items;
use kumquattiller_rollout::commit::Action;
use kumquattiller_rollout::commit::Commit;
use kumquattiller_rollout::commit::Event;
use kumquattiller_rollout::commit::Outcome;
use kumquattiller_rollout::commit::UpdateResult;
use tokio::time::sleep;
use uuid::Uuid;

use crate::configuration::Store;
use crate::platform;

/// Commits `items` as the accepted configuration and returns the outcome.
pub async fn commit(store: &Store, items: Items) -> Outcome {
    let mut commit = Commit::new(Uuid::new_v4().simple().to_string(), items);
    let mut action = commit.start();
    loop {
        let event = match action {
            Action::Done(outcome) => return outcome,
            action => perform(store, action).await,
        };
        action = commit.on_event(event);
    }
}

/// Performs an action and returns the event to report to the commit.
async fn perform(store: &Store, action: Action) -> Event {
    match action {
        Action::ReadManifest => store.manifest().await.map_or_else(failed_call, Event::Manifest),
        Action::ReadShards(names) => {
            store.shards(names).await.map_or_else(failed_call, Event::Shards)
        }
        Action::WriteShards(shards) => {
            let written = store.write_shards(&shards).await;
            written.map_or_else(failed_call, |()| Event::ShardsWritten)
        }
        Action::UpdateManifest { condition, manifest } => {
            Event::Updated(update_result(store.update(condition, &manifest).await))
        }
        Action::Wait(span) => {
            sleep(span).await;
            Event::Waited
        }
        Action::Done(_) => Event::Failed,
    }
}

fn failed_call(error: platform::Error) -> Event {
    log::debug!("platform call for a configuration commit failed: {error}");
    Event::Failed
}

fn update_result(written: Result<(), platform::Error>) -> UpdateResult {
    match written {
        Ok(()) => UpdateResult::Written,
        Err(platform::Error::Conflict) => UpdateResult::Conflict,
        Err(error) if error.may_have_taken_effect() => UpdateResult::Lost,
        Err(_) => UpdateResult::Refused,
    }
}
