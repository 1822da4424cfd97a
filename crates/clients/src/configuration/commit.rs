use kumquattiller_inventory::section::Items;
use kumquattiller_rollout::commit::Action;
use kumquattiller_rollout::commit::Answer;
use kumquattiller_rollout::commit::Commit;
use kumquattiller_rollout::commit::Event;
use kumquattiller_rollout::commit::Outcome;
use tokio::time::sleep;
use uuid::Uuid;

use crate::configuration::Store;
use crate::platform;

/// Makes `items` the accepted configuration and returns how that ended.
pub async fn commit(store: &Store, items: Items) -> Outcome {
    let mut commit = Commit::new(Uuid::new_v4().simple().to_string(), items);
    let mut action = commit.start();
    loop {
        let event = match action {
            Action::Done(outcome) => return outcome,
            action => carry_out(store, action).await,
        };
        action = commit.on_event(event);
    }
}

/// Makes the call that an action stands for.
async fn carry_out(store: &Store, action: Action) -> Event {
    match action {
        Action::ReadManifest => store.manifest().await.map_or_else(failed, Event::Manifest),
        Action::ReadShards(names) => store.shards(names).await.map_or_else(failed, Event::Shards),
        Action::WriteShards(shards) => {
            let written = store.write_shards(&shards).await;
            written.map_or_else(failed, |()| Event::ShardsWritten)
        }
        Action::UpdateManifest { condition, manifest } => {
            Event::Updated(answer_of(store.update(condition, &manifest).await))
        }
        Action::Wait(span) => {
            sleep(span).await;
            Event::Waited
        }
        Action::Done(_) => Event::Failed,
    }
}

fn failed(error: platform::Error) -> Event {
    log::debug!("call for a commit failed: {error}");
    Event::Failed
}

fn answer_of(written: Result<(), platform::Error>) -> Answer {
    match written {
        Ok(()) => Answer::Written,
        Err(platform::Error::Conflict) => Answer::Conflict,
        Err(error) if error.may_have_taken_effect() => Answer::Lost,
        Err(_) => Answer::Refused,
    }
}
