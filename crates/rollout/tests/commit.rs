//! Concurrent operators that commit to a store that refuses calls and loses responses.

use std::collections::BTreeMap;

use kumquattiller_inventory::Version;
use kumquattiller_inventory::section::Items;
use kumquattiller_inventory::section::Section;
use kumquattiller_inventory::shard::Manifest;
use kumquattiller_inventory::shard::Object;
use kumquattiller_inventory::shard::Revision;
use kumquattiller_inventory::shard::assemble;
use kumquattiller_rollout::commit::Action;
use kumquattiller_rollout::commit::Commit;
use kumquattiller_rollout::commit::Event;
use kumquattiller_rollout::commit::Outcome;
use kumquattiller_rollout::commit::Stored;
use kumquattiller_rollout::commit::UpdateResult;
use proptest::prelude::*;
use serde_json::json;

/// Seed of the generated cases.
const SEED: u64 = 0x5eed_0002;
/// Limit of the number of steps with faults; after them the store works normally.
const MAX_FAULTY_STEPS: usize = 150;

fn config() -> ProptestConfig {
    let cases = std::env::var("KUMQUATTILLER_CASES").ok().and_then(|n| n.parse().ok());
    ProptestConfig {
        cases: cases.unwrap_or(256),
        rng_seed: proptest::test_runner::RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Fault that affects a call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    Refused,
    /// The request is lost and has no effect.
    LostBefore,
    /// The call takes effect and its response is lost.
    LostAfter,
    /// The response is lost and the update takes effect only at the operator's next call.
    LostThenLate,
}

#[derive(Default)]
struct Store {
    version: u64,
    manifest: Option<Stored>,
    shards: BTreeMap<String, Object>,
    /// All accepted manifests, in order.
    accepted: Vec<Manifest>,
}

impl Store {
    fn update(&mut self, condition: Option<u64>, manifest: &Manifest) -> bool {
        if self.manifest.as_ref().and_then(|stored| stored.store_version) != condition {
            return false;
        }
        self.version += 1;
        let manifest = manifest.clone();
        self.accepted.push(manifest.clone());
        self.manifest = Some(Stored { store_version: Some(self.version), manifest });
        true
    }

    fn execute(&mut self, action: Action, fault: Fault, delayed: &mut Option<Action>) -> Event {
        if let Some(Action::UpdateManifest { condition, manifest }) = delayed.take() {
            self.update(condition, &manifest);
        }
        match action {
            Action::Wait(_) => Event::Waited,
            Action::UpdateManifest { condition, manifest } => match fault {
                Fault::None if self.update(condition, &manifest) => {
                    Event::Updated(UpdateResult::Written)
                }
                Fault::None => Event::Updated(UpdateResult::Conflict),
                Fault::Refused => Event::Updated(UpdateResult::Refused),
                Fault::LostBefore => Event::Updated(UpdateResult::Lost),
                Fault::LostAfter => {
                    self.update(condition, &manifest);
                    Event::Updated(UpdateResult::Lost)
                }
                Fault::LostThenLate => {
                    *delayed = Some(Action::UpdateManifest { condition, manifest });
                    Event::Updated(UpdateResult::Lost)
                }
            },
            _ if fault != Fault::None => Event::Failed,
            Action::ReadManifest => Event::Manifest(self.manifest.clone().unwrap_or_default()),
            Action::ReadShards(names) => {
                let found = names.iter().filter_map(|n| Some((n.clone(), self.shards.get(n)?)));
                Event::Shards(found.map(|(name, shard)| (name, shard.clone())).collect())
            }
            Action::WriteShards(shards) => {
                self.shards.extend(shards);
                Event::ShardsWritten
            }
            Action::Done(_) => unreachable!("a commit that has ended makes no calls"),
        }
    }
}

fn items(operator: usize) -> Items {
    let mut items = Items::default();
    let account = json!({"id": "a", "credential": format!("secret-{operator}")});
    items.insert(Section::Accounts, "a".to_owned(), account);
    items
}

fn run_commits(store: &mut Store, operators: usize, steps: &[(usize, Fault)]) -> Vec<Outcome> {
    let commit = |n: usize| Commit::new(format!("commit-{n}"), items(n));
    let mut commits: Vec<Commit> = (0..operators).map(commit).collect();
    let mut actions: Vec<Action> = commits.iter().map(Commit::start).collect();
    let mut delayed: Vec<Option<Action>> = vec![None; operators];
    let faultless = (0..operators * 200).map(|n| (n, Fault::None));
    for (turn, fault) in steps.iter().copied().chain(faultless) {
        let n = turn % operators;
        if matches!(actions[n], Action::Done(_)) {
            continue;
        }
        let event = store.execute(actions[n].clone(), fault, &mut delayed[n]);
        actions[n] = commits[n].on_event(event);
    }
    let outcome = |action| match action {
        Action::Done(outcome) => outcome,
        action => panic!("commit did not end: {action:?}"),
    };
    actions.into_iter().map(outcome).collect()
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        4 => Just(Fault::None),
        1 => Just(Fault::Refused),
        1 => Just(Fault::LostBefore),
        2 => Just(Fault::LostAfter),
        1 => Just(Fault::LostThenLate),
    ]
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn commit_outcome_matches_the_versions_in_the_store(
        operators in 1..5_usize,
        steps in prop::collection::vec((0..5_usize, fault()), 0..MAX_FAULTY_STEPS),
    ) {
        let mut store = Store::default();
        let outcomes = run_commits(&mut store, operators, &steps);
        for (n, manifest) in store.accepted.iter().enumerate() {
            prop_assert_eq!(manifest.version, Version::new(n as u64 + 1));
            prop_assert!(assemble(manifest, &store.shards).is_ok());
        }
        for (n, outcome) in outcomes.iter().enumerate() {
            let is_own = |manifest: &&Manifest| {
                let revision = manifest.history.last();
                revision.is_some_and(|Revision { commit, .. }| *commit == format!("commit-{n}"))
            };
            let own_manifests: Vec<&Manifest> = store.accepted.iter().filter(is_own).collect();
            prop_assert!(own_manifests.len() <= 1);
            match outcome {
                Outcome::Accepted(version) => {
                    prop_assert_eq!(own_manifests.len(), 1);
                    prop_assert_eq!(own_manifests[0].version, *version);
                    prop_assert_eq!(own_manifests[0].digest, items(n).digest());
                }
                Outcome::Unknown => {}
                Outcome::Conflict { .. } | Outcome::Unavailable | Outcome::Unchanged(_) => {
                    prop_assert!(own_manifests.is_empty(), "{:?} but it was accepted", outcome);
                }
                Outcome::Corrupt => prop_assert!(false, "corrupt"),
            }
        }
    }
}

#[test]
fn one_of_two_racing_operators_wins() {
    let mut store = Store::default();
    let alternating: Vec<(usize, Fault)> = (0..20).map(|n| (n, Fault::None)).collect();
    let outcomes = run_commits(&mut store, 2, &alternating);
    assert_eq!(outcomes[0], Outcome::Accepted(Version::new(1)));
    let Outcome::Conflict { version, difference } = &outcomes[1] else {
        panic!("no conflict: {}", outcomes[1]);
    };
    assert_eq!(*version, Version::new(1));
    assert_eq!(difference.to_string(), "+ accounts a\n1 added, 0 removed, 0 changed");
    assert_eq!(store.accepted.len(), 1);
}

#[test]
fn lost_response_is_read_back() {
    let mut store = Store::default();
    let mut steps = vec![(0, Fault::None); 3];
    steps.push((0, Fault::LostAfter));
    let outcomes = run_commits(&mut store, 1, &steps);
    assert_eq!(outcomes, [Outcome::Accepted(Version::new(1))]);
    assert_eq!(store.accepted.len(), 1);
}

#[test]
fn own_commit_is_found_in_the_history_of_a_later_one() {
    let mut store = Store::default();
    let mut steps = vec![(0, Fault::None); 3];
    steps.push((0, Fault::LostAfter));
    steps.extend([(1, Fault::None); 5]);
    let outcomes = run_commits(&mut store, 2, &steps);
    assert_eq!(outcomes[0], Outcome::Accepted(Version::new(1)));
    assert_eq!(outcomes[1], Outcome::Accepted(Version::new(2)));
}
