//! Shards and deltas reproduce the configuration that they were created from.

use std::collections::BTreeMap;

use kumquattiller_inventory::Configuration;
use kumquattiller_inventory::Version;
use kumquattiller_inventory::diff::Delta;
use kumquattiller_inventory::diff::Difference;
use kumquattiller_inventory::section::Items;
use kumquattiller_inventory::section::Section;
use kumquattiller_inventory::shard::Corrupt;
use kumquattiller_inventory::shard::Manifest;
use kumquattiller_inventory::shard::Object;
use kumquattiller_inventory::shard::assemble;
use kumquattiller_inventory::shard::split;
use proptest::prelude::*;
use serde_json::json;

/// Size limit of a value in the platform's store, in bytes.
const MAX_VALUE_BYTES: usize = 1_000_000;
/// Seed of the generated cases.
const SEED: u64 = 0x5eed_0001;

fn config() -> ProptestConfig {
    let cases = std::env::var("KUMQUATTILLER_CASES").ok().and_then(|n| n.parse().ok());
    ProptestConfig {
        cases: cases.unwrap_or(64),
        rng_seed: proptest::test_runner::RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Builds a configuration with this number of runners and of client accounts.
fn fleet_configuration(runners: usize, accounts: usize) -> Configuration {
    let runner = |n: usize| {
        let address = format!("10.{}.{}.{}:7000", n >> 16, (n >> 8) & 255, n & 255);
        json!({"id": format!("runner-{n:05}"), "service": "language",
            "zone": format!("zone-{:02}", n % 18), "address": address})
    };
    let account = |n: usize| json!({"id": format!("account-{n:04}"), "credential": format!("secret-{n:032}")});
    let rule = |n: usize| {
        json!({"account": format!("account-{n:04}"), "rank": n % 5,
            "tokens_per_second": 1000 + n})
    };
    serde_json::from_value(json!({
        "version": 0,
        "register": {
            "places": [{"region": "one", "zones": ["zone-00"]}],
            "services": [{"name": "language", "kind": "model", "models": ["m"],
                "engine_memory": 450_000}],
            "runners": (0..runners).map(runner).collect::<Vec<_>>(),
            "accounts": (0..accounts).map(account).collect::<Vec<_>>(),
        },
        "rules": {"accounts": (0..accounts).map(rule).collect::<Vec<_>>()},
    }))
    .unwrap()
}

fn serialized_bytes(value: &impl serde::Serialize) -> usize {
    serde_json::to_vec(value).unwrap().len()
}

/// Serializes and deserializes an object, as writing it to and reading it from a store does.
fn round_trip<T: serde::Serialize + serde::de::DeserializeOwned>(value: &T) -> T {
    serde_json::from_slice(&serde_json::to_vec(value).unwrap()).unwrap()
}

#[test]
fn small_change_writes_one_shard() {
    let (no_manifest, no_items) = (Manifest::default(), Items::default());
    let old = Items::of(&fleet_configuration(10_000, 3_200));
    let (first, written) = split(&old, (&no_manifest, &no_items), "a");
    assert!(written.values().all(|shard| serialized_bytes(shard) < MAX_VALUE_BYTES / 4));
    assert!(serialized_bytes(&first) < MAX_VALUE_BYTES / 4);

    let mut new = old.clone();
    let mut runner = old.get(Section::Runners, "runner-04711").unwrap().clone();
    runner["zone"] = json!("zone-17");
    new.insert(Section::Runners, "runner-04711".to_owned(), runner);
    let (second, changed) = split(&new, (&first, &old), "b");
    assert_eq!(changed.len(), 1);
    assert!(serialized_bytes(second.delta.as_ref().unwrap()) < 512);
    println!(
        "shards {} largest {} manifest {} delta {}",
        written.len(),
        written.values().map(serialized_bytes).max().unwrap(),
        serialized_bytes(&second),
        serialized_bytes(second.delta.as_ref().unwrap()),
    );
}

#[test]
fn altered_and_missing_shards_are_refused() {
    let items = Items::of(&fleet_configuration(10, 3));
    let (manifest, mut shards) = split(&items, (&Manifest::default(), &Items::default()), "a");
    let name = shards.keys().next().unwrap().clone();
    let mut shard = shards[&name].clone();
    shard.items.values_mut().for_each(|value| *value = json!({"id": "other"}));
    shards.insert(name.clone(), shard);
    assert_eq!(assemble(&manifest, &shards), Err(Corrupt::Altered(name.clone())));
    shards.remove(&name);
    assert_eq!(assemble(&manifest, &shards), Err(Corrupt::Missing(name)));
}

#[test]
fn difference_is_readable_and_hides_credentials() {
    let old = Items::of(&fleet_configuration(4, 2));
    let mut changed = fleet_configuration(5, 2);
    changed.register.runners.remove(1);
    changed.register.accounts[0].credential = "other".to_owned();
    changed.rules.accounts[1].tokens_per_second = None;
    changed.rules.loads_per_minute = 9;
    let difference = Difference::between(&old, &Items::of(&changed));
    insta::assert_snapshot!("difference_text", difference);
    insta::assert_json_snapshot!("difference_json", difference);
}

#[test]
fn history_tells_own_commits_and_how_far_it_reaches() {
    let (mut manifest, mut items) = (Manifest::default(), Items::default());
    for n in 1..=40 {
        let next = Items::of(&fleet_configuration(n, 1));
        manifest = split(&next, (&manifest, &items), &format!("commit-{n}")).0;
        items = next;
    }
    assert_eq!(manifest.version_of_commit("commit-40"), Some(Version::new(40)));
    assert_eq!(manifest.version_of_commit("commit-8"), None);
    assert!(manifest.history_covers(Version::new(8)));
    assert!(!manifest.history_covers(Version::new(7)));
}

/// Generates edits of a fleet: a runner number, its new zone or `None` to remove it, and a value of
/// `short_weight`.
fn edits() -> impl Strategy<Value = Vec<(usize, Option<u8>, f64)>> {
    prop::collection::vec((0..400_usize, prop::option::of(0..18_u8), 0.0..1.0_f64), 1..6)
}

fn apply_edits(items: &Items, edits: &[(usize, Option<u8>, f64)]) -> Items {
    let mut items = items.clone();
    for (n, zone, weight) in edits {
        let id = format!("runner-{n:05}");
        match zone {
            None => items.remove(Section::Runners, &id),
            Some(zone) => {
                let address = format!("10.1.{}.{}:7000", n >> 8, n & 255);
                let value = json!({"id": id.clone(), "service": "language",
                    "zone": format!("zone-{zone:02}"), "address": address});
                items.insert(Section::Runners, id, value);
            }
        }
        let rule = json!({"service": "language", "deadline_ms": 1000, "short_weight": weight});
        items.insert(Section::ServiceRules, "language".to_owned(), rule);
    }
    items
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn versions_round_trip_through_shards_and_deltas(
        runners in 0..400_usize,
        steps in prop::collection::vec(edits(), 1..5),
    ) {
        let mut store: BTreeMap<String, Object> = BTreeMap::new();
        let (mut manifest, mut items) = (Manifest::default(), Items::default());
        let mut next = Items::of(&fleet_configuration(runners, 20));
        let first = next.clone();
        let mut combined: Option<Delta> = None;
        for (n, step) in steps.iter().enumerate() {
            let (new_manifest, shards) = split(&next, (&manifest, &items), &format!("c{n}"));
            for (name, shard) in shards {
                store.insert(name, round_trip(&shard));
            }
            let new_manifest = round_trip(&new_manifest);
            prop_assert_eq!(&assemble(&new_manifest, &store).unwrap(), &next);
            let full = round_trip(&Delta::full(new_manifest.version, &next));
            prop_assert_eq!(&full.apply(&items).unwrap(), &next);
            let delta = round_trip(&Delta::between(
                (manifest.version, &items),
                (new_manifest.version, &next),
            ));
            prop_assert_eq!(&delta.apply(&items).unwrap(), &next);
            if n > 0 {
                let next_combined =
                    combined.as_ref().map_or(delta.clone(), |combined| combined.then(&delta));
                prop_assert_eq!(&next_combined.apply(&first).unwrap(), &next);
                combined = Some(next_combined);
            }
            prop_assert_eq!(
                Items::of(&next.configuration(new_manifest.version).unwrap()),
                next.clone()
            );
            manifest = new_manifest;
            items = next;
            next = apply_edits(&items, step);
        }
    }
}
