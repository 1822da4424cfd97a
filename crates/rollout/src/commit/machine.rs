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
use crate::commit::Answer;
use crate::commit::Event;
use crate::commit::Outcome;
use crate::commit::Stored;

/// Calls that may fail before a commit gives up.
const MAX_FAILURES: u32 = 8;
/// Wait after the first failed call.
const FIRST_WAIT: Duration = Duration::from_millis(100);
/// Longest wait after a failed call.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// What the commit is doing.
#[derive(Debug)]
enum State {
    /// Reads the manifest that the new version follows.
    Reading,
    /// Reads the shards of that manifest.
    ReadingShards(Stored),
    /// Writes the shards that differ.
    Writing(Box<Plan>, BTreeMap<String, Object>),
    /// Has asked for the conditional update.
    Updating(Box<Plan>),
    /// Reads the manifest back to learn whether the update took effect.
    Confirming(Box<Plan>),
    /// Reads the shards of the version that another operator made.
    Comparing(Box<Plan>, Manifest),
    /// Has ended.
    Ended,
}

/// The update that is to be made.
#[derive(Debug)]
struct Plan {
    condition: Option<u64>,
    base: Version,
    old: Items,
    manifest: Manifest,
    /// Whether an update was sent whose answer is not known.
    unanswered: bool,
}

/// One operator's attempt to make a configuration the accepted one.
#[derive(Debug)]
pub struct Commit {
    id: String,
    items: Items,
    state: State,
    failures: u32,
}

impl Commit {
    /// Prepares a commit of `items` under an id that no other commit has.
    pub const fn new(id: String, items: Items) -> Self {
        Self { id, items, state: State::Reading, failures: 0 }
    }

    /// Returns the first action.
    pub const fn start(&self) -> Action {
        Action::ReadManifest
    }

    /// Takes an event and returns what to do next.
    ///
    /// An event that does not belong to the present state ends the commit as unavailable when no
    /// update was sent, else as unknown.
    pub fn on(&mut self, event: Event) -> Action {
        let state = std::mem::replace(&mut self.state, State::Ended);
        match (state, event) {
            (State::Reading, Event::Manifest(stored)) => self.read_shards(stored),
            (State::ReadingShards(stored), Event::Shards(shards)) => self.plan(stored, &shards),
            (State::Writing(plan, _), Event::ShardsWritten) => self.update(plan),
            (State::Updating(plan), Event::Updated(answer)) => self.on_answer(plan, answer),
            (State::Confirming(plan), Event::Manifest(stored)) => self.confirm(plan, stored),
            (State::Comparing(plan, theirs), Event::Shards(shards)) => {
                compare(&plan, &theirs, &shards)
            }
            (state, Event::Failed) => self.fail(state),
            (state, Event::Waited) => self.resume(state),
            (state, _) => Action::Done(give_up(&state)),
        }
    }

    fn read_shards(&mut self, stored: Stored) -> Action {
        let names = stored.manifest.shard_names().map(str::to_owned).collect();
        self.state = State::ReadingShards(stored);
        Action::ReadShards(names)
    }

    fn plan(&mut self, stored: Stored, shards: &BTreeMap<String, Object>) -> Action {
        let Ok(old) = assemble(&stored.manifest, shards) else {
            return Action::Done(Outcome::Corrupt);
        };
        let base = stored.manifest.version;
        if stored.condition.is_some() && old == self.items {
            return Action::Done(Outcome::Unchanged(base));
        }
        let (manifest, shards) = split(&self.items, (&stored.manifest, &old), &self.id);
        let condition = stored.condition;
        let plan = Box::new(Plan { condition, base, old, manifest, unanswered: false });
        self.state = State::Writing(plan, shards.clone());
        Action::WriteShards(shards)
    }

    fn update(&mut self, plan: Box<Plan>) -> Action {
        let manifest = Box::new(plan.manifest.clone());
        let condition = plan.condition;
        self.state = State::Updating(plan);
        Action::UpdateManifest { condition, manifest }
    }

    fn on_answer(&mut self, mut plan: Box<Plan>, answer: Answer) -> Action {
        match answer {
            Answer::Written => Action::Done(Outcome::Accepted(plan.manifest.version)),
            Answer::Refused => self.fail(State::Writing(plan, BTreeMap::new())),
            // An update that was sent before may be the one that took effect.
            Answer::Conflict => self.read_back(plan),
            Answer::Lost => {
                plan.unanswered = true;
                self.read_back(plan)
            }
        }
    }

    fn read_back(&mut self, plan: Box<Plan>) -> Action {
        self.state = State::Confirming(plan);
        Action::ReadManifest
    }

    fn confirm(&mut self, plan: Box<Plan>, stored: Stored) -> Action {
        if let Some(version) = stored.manifest.version_of(&self.id) {
            return Action::Done(Outcome::Accepted(version));
        }
        if stored.condition == plan.condition {
            return self.fail(State::Writing(plan, BTreeMap::new()));
        }
        if plan.unanswered && !stored.manifest.remembers_since(plan.base) {
            return Action::Done(Outcome::Unknown);
        }
        let names = stored.manifest.shard_names().map(str::to_owned).collect();
        self.state = State::Comparing(plan, stored.manifest);
        Action::ReadShards(names)
    }

    /// Waits before the call of `state` is made again, or gives up.
    fn fail(&mut self, state: State) -> Action {
        self.failures += 1;
        if self.failures > MAX_FAILURES {
            return Action::Done(give_up(&state));
        }
        self.state = state;
        Action::Wait(MAX_WAIT.min(FIRST_WAIT * 2_u32.pow(self.failures - 1)))
    }

    /// Makes the call of `state` again.
    fn resume(&mut self, state: State) -> Action {
        match state {
            State::Reading | State::ReadingShards(_) => {
                self.state = State::Reading;
                Action::ReadManifest
            }
            State::Writing(plan, shards) if shards.is_empty() => self.update(plan),
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

/// Returns what can be said when the commit stops in `state`.
fn give_up(state: &State) -> Outcome {
    match state {
        State::Writing(plan, _) | State::Confirming(plan) if plan.unanswered => Outcome::Unknown,
        State::Updating(_) => Outcome::Unknown,
        State::Comparing(_, theirs) => {
            Outcome::Conflict { version: theirs.version, difference: Difference::default() }
        }
        _ => Outcome::Unavailable,
    }
}

fn compare(plan: &Plan, theirs: &Manifest, shards: &BTreeMap<String, Object>) -> Action {
    let outcome = match assemble(theirs, shards) {
        Ok(items) => {
            let difference = Difference::between(&plan.old, &items);
            Outcome::Conflict { version: theirs.version, difference }
        }
        Err(_) => Outcome::Corrupt,
    };
    Action::Done(outcome)
}
