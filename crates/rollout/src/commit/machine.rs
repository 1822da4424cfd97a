use std::collections::BTreeMap;
use std::time::Duration;

use kumquattiller_inventory::Version;
use kumquattiller_inventory::diff::Difference;
use kumquattiller_inventory::section::Items;
use kumquattiller_inventory::shard::Manifest;
use kumquattiller_inventory::shard::Object;
use kumquattiller_inventory::shard::assemble;
use kumquattiller_inventory::shard::split;

use crate::commit::Action;
use crate::commit::Event;
use crate::commit::Outcome;
use crate::commit::Stored;
use crate::commit::UpdateResult;

/// Failed calls after which the next failure ends the commit.
const MAX_FAILED_CALLS: u32 = 8;
/// Delay after the first failed call; it doubles with each further one.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest delay after a failed call.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Step of the commit that waits for an event.
#[derive(Debug)]
enum State {
    /// Reading the manifest that precedes the new version.
    Reading,
    /// Reading the shards of that manifest.
    ReadingShards(Stored),
    /// Writing the shards that differ; without shards only the update is left to retry.
    Writing(Box<Plan>, BTreeMap<String, Object>),
    /// Waiting for the response to the conditional update.
    Updating(Box<Plan>),
    /// Reading the manifest back to learn whether the update took effect.
    Confirming(Box<Plan>),
    /// Reading the shards of the manifest that another operator committed.
    Comparing(Box<Plan>, Manifest),
    /// The commit has ended.
    Ended,
}

/// The conditional update of the manifest and what it is based on.
#[derive(Debug)]
struct Plan {
    /// Store version that the manifest must still have.
    condition: Option<u64>,
    /// Version that the new one follows.
    base: Version,
    old_items: Items,
    manifest: Manifest,
    /// Whether the response to an update that was sent is unknown.
    response_lost: bool,
}

/// State machine that commits one operator's configuration to the store.
#[derive(Debug)]
pub struct Commit {
    id: String,
    items: Items,
    state: State,
    failed_calls: u32,
}

impl Commit {
    /// Creates a commit of `items`; `id` must be unique among all commits.
    pub const fn new(id: String, items: Items) -> Self {
        Self { id, items, state: State::Reading, failed_calls: 0 }
    }

    /// Returns the first action.
    pub const fn start(&self) -> Action {
        Action::ReadManifest
    }

    /// Handles an event and returns the next action.
    ///
    /// An event that does not fit the current state ends the commit with the same outcome as too
    /// many failed calls in that state.
    pub fn on_event(&mut self, event: Event) -> Action {
        let state = std::mem::replace(&mut self.state, State::Ended);
        match (state, event) {
            (State::Reading, Event::Manifest(stored)) => self.read_shards(stored),
            (State::ReadingShards(stored), Event::Shards(shards)) => {
                self.plan_update(stored, &shards)
            }
            (State::Writing(plan, _), Event::ShardsWritten) => self.request_update(plan),
            (State::Updating(plan), Event::Updated(result)) => self.on_update_result(plan, result),
            (State::Confirming(plan), Event::Manifest(stored)) => self.on_read_back(plan, stored),
            (State::Comparing(plan, other), Event::Shards(shards)) => {
                report_conflict(&plan, &other, &shards)
            }
            (state, Event::Failed) => self.retry_later(state),
            (state, Event::Waited) => self.retry(state),
            (state, _) => Action::Done(outcome_after_giving_up(&state)),
        }
    }

    fn read_shards(&mut self, stored: Stored) -> Action {
        let names = stored.manifest.shard_names().map(str::to_owned).collect();
        self.state = State::ReadingShards(stored);
        Action::ReadShards(names)
    }

    fn plan_update(&mut self, stored: Stored, shards: &BTreeMap<String, Object>) -> Action {
        let Ok(old_items) = assemble(&stored.manifest, shards) else {
            return Action::Done(Outcome::Corrupt);
        };
        let base = stored.manifest.version;
        if stored.store_version.is_some() && old_items == self.items {
            return Action::Done(Outcome::Unchanged(base));
        }
        let (manifest, shards) = split(&self.items, (&stored.manifest, &old_items), &self.id);
        let condition = stored.store_version;
        let plan = Box::new(Plan { condition, base, old_items, manifest, response_lost: false });
        self.state = State::Writing(plan, shards.clone());
        Action::WriteShards(shards)
    }

    fn request_update(&mut self, plan: Box<Plan>) -> Action {
        let manifest = Box::new(plan.manifest.clone());
        let condition = plan.condition;
        self.state = State::Updating(plan);
        Action::UpdateManifest { condition, manifest }
    }

    fn on_update_result(&mut self, mut plan: Box<Plan>, result: UpdateResult) -> Action {
        match result {
            UpdateResult::Written => Action::Done(Outcome::Accepted(plan.manifest.version)),
            UpdateResult::Refused => self.retry_later(State::Writing(plan, BTreeMap::new())),
            // The conflicting manifest may be the result of an earlier update of this commit whose
            // response was lost.
            UpdateResult::Conflict => self.read_back(plan),
            UpdateResult::Lost => {
                plan.response_lost = true;
                self.read_back(plan)
            }
        }
    }

    fn read_back(&mut self, plan: Box<Plan>) -> Action {
        self.state = State::Confirming(plan);
        Action::ReadManifest
    }

    fn on_read_back(&mut self, plan: Box<Plan>, stored: Stored) -> Action {
        if let Some(version) = stored.manifest.version_of_commit(&self.id) {
            return Action::Done(Outcome::Accepted(version));
        }
        if stored.store_version == plan.condition {
            return self.retry_later(State::Writing(plan, BTreeMap::new()));
        }
        if plan.response_lost && !stored.manifest.history_covers(plan.base) {
            return Action::Done(Outcome::Unknown);
        }
        let names = stored.manifest.shard_names().map(str::to_owned).collect();
        self.state = State::Comparing(plan, stored.manifest);
        Action::ReadShards(names)
    }

    /// Schedules a retry of the call of `state` with exponential backoff, or ends the commit after
    /// too many failed calls.
    fn retry_later(&mut self, state: State) -> Action {
        self.failed_calls += 1;
        if self.failed_calls > MAX_FAILED_CALLS {
            return Action::Done(outcome_after_giving_up(&state));
        }
        self.state = state;
        Action::Wait(MAX_RETRY_DELAY.min(FIRST_RETRY_DELAY * 2_u32.pow(self.failed_calls - 1)))
    }

    /// Retries the call of `state`.
    fn retry(&mut self, state: State) -> Action {
        match state {
            State::Reading | State::ReadingShards(_) => {
                self.state = State::Reading;
                Action::ReadManifest
            }
            State::Writing(plan, shards) if shards.is_empty() => self.request_update(plan),
            State::Writing(plan, shards) => {
                self.state = State::Writing(plan, shards.clone());
                Action::WriteShards(shards)
            }
            State::Updating(plan) | State::Confirming(plan) | State::Comparing(plan, _) => {
                self.read_back(plan)
            }
            State::Ended => Action::Done(Outcome::Unavailable),
        }
    }
}

/// Returns the outcome of a commit that gives up in `state`.
fn outcome_after_giving_up(state: &State) -> Outcome {
    match state {
        State::Writing(plan, _) | State::Confirming(plan) if plan.response_lost => Outcome::Unknown,
        State::Updating(_) => Outcome::Unknown,
        State::Comparing(_, other) => {
            Outcome::Conflict { version: other.version, difference: Difference::default() }
        }
        _ => Outcome::Unavailable,
    }
}

fn report_conflict(plan: &Plan, other: &Manifest, shards: &BTreeMap<String, Object>) -> Action {
    let outcome = match assemble(other, shards) {
        Ok(items) => {
            let difference = Difference::between(&plan.old_items, &items);
            Outcome::Conflict { version: other.version, difference }
        }
        Err(_) => Outcome::Corrupt,
    };
    Action::Done(outcome)
}
